#include "gpMetricsReader.h"

#include <memory>
#include <utility>

namespace {

constexpr gpMillis kMetricsTimeout{ 2000 };
constexpr int kOk = 200;

/// The state of one reading of all processes: counts received and calls open.
struct Reading
{
  gpMessageReadings readings_;
  std::size_t pendingCalls_ = 0;
  std::function<void(gpMessageReadings)> handler_;

  void OnCallEnded()
  {
    --pendingCalls_;
    if (pendingCalls_ == 0) {
      handler_(std::move(readings_));
    }
  }
};

} // namespace

void
gpReadMetrics(gpHttpClient& aHttp,
              const std::vector<gpAddress>& aAddresses,
              std::function<void(gpMessageReadings)> aHandler)
{
  const auto reading = std::make_shared<Reading>();
  reading->handler_ = std::move(aHandler);
  // Counts this loop as an open call, so that a call that ends before the
  // others are made doesn't complete the reading.
  reading->pendingCalls_ = aAddresses.size() + 1;
  for (const gpAddress& address : aAddresses) {
    gpHttpRequest request;
    request.target_ = "/metrics";
    aHttp.Call(address,
               std::move(request),
               kMetricsTimeout,
               [reading, address](const gpHttpReply& aReply) {
                 if (aReply.response_.ok() &&
                     aReply.response_->status_ == kOk) {
                   reading->readings_[address] =
                     gpParseMessageCounts(aReply.response_->body_);
                 }
                 reading->OnCallEnded();
               });
  }
  reading->OnCallEnded();
}

gpMessageTraffic
gpTrafficBetween(const std::vector<gpAddress>& aAddresses,
                 const gpMessageReadings& aBefore,
                 const gpMessageReadings& aAfter)
{
  gpMessageTraffic traffic;
  for (const gpAddress& address : aAddresses) {
    const auto before = aBefore.find(address);
    const auto after = aAfter.find(address);
    if (before == aBefore.end() || after == aAfter.end()) {
      ++traffic.unread_;
      continue;
    }
    for (const auto& [kind, count] :
         gpCountIncrease(before->second, after->second)) {
      traffic.counts_[kind] += count;
    }
  }
  return traffic;
}
