#include "gpHttpSessionTable.h"

#include <algorithm>

void
gpHttpSessionTable::Add(const SessionPtr& aSession)
{
  rows_.emplace(aSession.get(), Row{ aSession, 0, std::nullopt });
}

void
gpHttpSessionTable::Remove(gpHttpSession& aSession)
{
  SetWaiting(aSession, false);
  SetKept(aSession, 0);
  rows_.erase(&aSession);
}

void
gpHttpSessionTable::SetWaiting(gpHttpSession& aSession, bool aIsWaiting)
{
  const auto row = rows_.find(&aSession);
  if (row == rows_.end()) {
    return;
  }
  auto& waiting = row->second.waiting_;
  if (waiting.has_value()) {
    waiting_.erase(*waiting);
    waiting.reset();
  }
  if (aIsWaiting) {
    waiting = waiting_.insert(waiting_.end(), &aSession);
  }
}

void
gpHttpSessionTable::SetKept(gpHttpSession& aSession, std::size_t aBytes)
{
  const auto row = rows_.find(&aSession);
  if (row != rows_.end()) {
    kept_ += aBytes - row->second.kept_;
    row->second.kept_ = aBytes;
  }
}

gpHttpSessionTable::SessionPtr
gpHttpSessionTable::Get(gpHttpSession& aSession) const
{
  return rows_.at(&aSession).session_;
}

std::vector<gpHttpSessionTable::SessionPtr>
gpHttpSessionTable::GetAll() const
{
  std::vector<SessionPtr> sessions;
  sessions.reserve(rows_.size());
  for (const auto& [key, row] : rows_) {
    sessions.push_back(row.session_);
  }
  return sessions;
}

gpHttpSessionTable::SessionPtr
gpHttpSessionTable::FindLongestWaiting() const
{
  return waiting_.empty() ? nullptr : Get(*waiting_.front());
}

gpHttpSessionTable::SessionPtr
gpHttpSessionTable::FindLongestWaitingKeeper(const gpHttpSession& aExcept) const
{
  const auto found = std::find_if(
    waiting_.begin(), waiting_.end(), [&](gpHttpSession* aSession) {
      return aSession != &aExcept && rows_.at(aSession).kept_ > 0;
    });
  return found == waiting_.end() ? nullptr : Get(**found);
}
