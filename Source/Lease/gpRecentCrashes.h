#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "gpCrashMessages.h"
#include "gpTime.h"

/** \class gpRecentCrashes
 * \brief The crashes of a limited time, for processes that link later.
 */
class gpRecentCrashes
{
public:
  explicit gpRecentCrashes(gpMillis aKeepTime)
    : keepTime_(aKeepTime)
  {
  }

  void Add(gpTargetCrash aCrash, gpTime aNow);
  /// Adds a crash of which another process has told, or stores what has become
  /// known about it if it was told before.
  void Learn(const gpTargetCrash& aCrash, gpTime aNow);
  /// Stores what has become known about a crash of the target, unless it's too
  /// old.
  void Settle(const std::string& aTarget,
              std::uint64_t aNumber,
              gpCrashState aState);
  /// Drops the crashes that are too old.
  void DropOld(gpTime aNow);
  std::vector<gpTargetCrash> List() const;

private:
  /// Limits the memory when many targets crash.
  static constexpr std::size_t kMostCrashes = 256;

  gpMillis keepTime_;
  std::deque<std::pair<gpTime, gpTargetCrash>> crashes_;
};
