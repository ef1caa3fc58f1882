#pragma once

#include <functional>
#include <map>
#include <vector>

#include "gpHttpClient.h"
#include "gpIds.h"
#include "gpMessageCounts.h"

/// Message counts by process; a process that didn't answer is missing.
using gpMessageReadings = std::map<gpAddress, gpMessageCounts>;

/// Reads /metrics of all addresses, and calls the handler once with the counts
/// of those that answered.
void
gpReadMetrics(gpHttpClient& aHttp,
              const std::vector<gpAddress>& aAddresses,
              std::function<void(gpMessageReadings)> aHandler);

/** \class gpMessageTraffic
 * \brief The messages that all processes sent between two readings.
 */
struct gpMessageTraffic
{
  gpMessageCounts counts_;
  /// Number of addresses that didn't answer both readings.
  std::uint64_t unread_ = 0;
};

/// Adds up the increase of all processes' counts between the readings.
gpMessageTraffic
gpTrafficBetween(const std::vector<gpAddress>& aAddresses,
                 const gpMessageReadings& aBefore,
                 const gpMessageReadings& aAfter);
