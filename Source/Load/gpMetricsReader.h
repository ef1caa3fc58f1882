#pragma once

#include <functional>
#include <map>
#include <vector>

#include "gpHttpClient.h"
#include "gpIds.h"
#include "gpMessageCounts.h"

/// Message counts by process; one that didn't answer is missing.
using gpMessageReadings = std::map<gpAddress, gpMessageCounts>;

/// Reads /metrics of all addresses, and calls the handler once with what came.
void
gpReadMetrics(gpHttpClient& aHttp,
              const std::vector<gpAddress>& aAddresses,
              std::function<void(gpMessageReadings)> aHandler);

/** \class gpMessageTraffic
 * \brief The messages of all processes between two readings.
 */
struct gpMessageTraffic
{
  gpMessageCounts counts_;
  /// Addresses that didn't answer both times.
  std::uint64_t unread_ = 0;
};

/// Adds up what the processes counted between the readings.
gpMessageTraffic
gpTrafficBetween(const std::vector<gpAddress>& aAddresses,
                 const gpMessageReadings& aBefore,
                 const gpMessageReadings& aAfter);
