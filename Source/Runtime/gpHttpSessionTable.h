#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

class gpHttpSession;

/** \class gpHttpSessionTable
 * \brief The sessions of a server, what each of them keeps for its caller, and
 * the order in which they began to wait for it.
 *
 * Internal to this folder.
 */
class gpHttpSessionTable
{
public:
  using SessionPtr = std::shared_ptr<gpHttpSession>;

  void Add(const SessionPtr& aSession);
  void Remove(gpHttpSession& aSession);
  /// Whether the session waits for its caller from now on.
  void SetWaiting(gpHttpSession& aSession, bool aIsWaiting);
  void SetKept(gpHttpSession& aSession, std::size_t aBytes);

  SessionPtr Get(gpHttpSession& aSession) const;
  std::vector<SessionPtr> GetAll() const;
  std::size_t Count() const { return rows_.size(); }
  /// Bytes that all sessions together keep for their callers.
  std::size_t GetKept() const { return kept_; }
  /// The session that has waited for its caller the longest; null if none does.
  SessionPtr FindLongestWaiting() const;
  /// The same of those but aExcept that keep anything for their callers.
  SessionPtr FindLongestWaitingKeeper(const gpHttpSession& aExcept) const;

private:
  struct Row
  {
    SessionPtr session_;
    std::size_t kept_ = 0;
    std::optional<std::list<gpHttpSession*>::iterator> waiting_;
  };

  std::unordered_map<gpHttpSession*, Row> rows_;
  /// The sessions that wait for their callers, the longest waiting first.
  std::list<gpHttpSession*> waiting_;
  std::size_t kept_ = 0;
};
