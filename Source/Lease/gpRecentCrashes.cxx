#include "gpRecentCrashes.h"

void
gpRecentCrashes::Add(gpTargetCrash aCrash, gpTime aNow)
{
  crashes_.emplace_back(aNow, std::move(aCrash));
  if (crashes_.size() > kMostCrashes) {
    crashes_.pop_front();
  }
}

void
gpRecentCrashes::Learn(const gpTargetCrash& aCrash, gpTime aNow)
{
  for (auto& [notedAt, known] : crashes_) {
    if (known.target_ == aCrash.target_ && known.number_ == aCrash.number_) {
      if (aCrash.state_ != gpCrashState::Suspected) {
        known.state_ = aCrash.state_;
      }
      return;
    }
  }
  Add(aCrash, aNow);
}

void
gpRecentCrashes::Settle(const std::string& aTarget,
                        std::uint64_t aNumber,
                        gpCrashState aState)
{
  for (auto& [notedAt, crash] : crashes_) {
    if (crash.target_ == aTarget && crash.number_ == aNumber) {
      crash.state_ = aState;
    }
  }
}

void
gpRecentCrashes::DropOld(gpTime aNow)
{
  while (!crashes_.empty() && aNow - crashes_.front().first > keepTime_) {
    crashes_.pop_front();
  }
}

std::vector<gpTargetCrash>
gpRecentCrashes::List() const
{
  std::vector<gpTargetCrash> list;
  list.reserve(crashes_.size());
  for (const auto& [notedAt, crash] : crashes_) {
    list.push_back(crash);
  }
  return list;
}
