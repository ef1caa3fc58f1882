#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "gpLeaseEvent.h"

/** \class gpRunOrders
 * \brief Numbers the runs of an entry, and collects the orders of one event:
 * runs of one step that go to one guard travel in one message, with one copy of
 * the job's spec.
 */
class gpRunOrders
{
public:
  /// Run numbers begin above aFirst. They follow the time, so that they rise
  /// over entries and incarnations that know nothing of each other.
  explicit gpRunOrders(std::uint64_t aFirst)
    : first_(aFirst)
  {
  }

  std::uint64_t NextNumber(gpTime aNow);
  /// A target has seen a higher number: go on far above.
  void SkipAhead();
  void Add(gpLinkId aLink,
           const gpLeaseJob& aJob,
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
