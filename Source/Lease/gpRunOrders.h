#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "gpLeaseEvent.h"
#include "gpLeaseJobTable.h"

/** \class gpRunOrders
 * \brief Numbers the runs of an entry, and collects the orders of one event:
 * runs of one step for one guard are sent in one message, with one copy of the
 * job's spec.
 */
class gpRunOrders
{
public:
  /// Run numbers begin above aFirst and follow the time in ms, so that a later
  /// run of a task has a higher number, even if it's ordered by another entry
  /// or incarnation that doesn't know of the earlier run.
  explicit gpRunOrders(std::uint64_t aFirst)
    : first_(aFirst)
  {
  }

  std::uint64_t NextNumber(gpTime aNow);
  /// Skips numbers far ahead, after a target has refused a number because it
  /// has seen a higher one.
  void SkipAhead();
  void Add(gpLinkId aLink,
           const gpLeaseRecord& aJob,
           std::uint32_t aStep,
           const gpRunId& aRun);
  void Flush(gpLeaseEffects& aOut);

private:
  using Key = std::tuple<gpLinkId, std::string, std::uint32_t>;

  std::uint64_t first_;
  std::uint64_t last_ = 0;
  gpTime startedAt_;
  std::map<Key, gpRunOrder> orders_;
};
