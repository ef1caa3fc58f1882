#include "gpStoreWriter.h"

#include <utility>

#include "gpEventLoop.h"

namespace {

constexpr gpMillis kRetryPause{ 500 };

} // namespace

gpStoreWriter::gpStoreWriter(gpTimerService& aTimers,
                             gpStorePort& aStore,
                             gpStoreTopic aTopic,
                             std::string aKey,
                             std::function<void(const absl::Status&)> aFailed)
  : timers_(aTimers)
  , store_(aStore)
  , topic_(aTopic)
  , record_{ std::move(aKey), {} }
  , failed_(std::move(aFailed))
{
}

void
gpStoreWriter::Write(std::string aValue)
{
  record_.value_ = std::move(aValue);
  if (!std::exchange(isSending_, true)) {
    Send();
  }
}

void
gpStoreWriter::Send()
{
  store_.Write(topic_,
               record_,
               [this, value = record_.value_](const absl::Status& aStatus) {
                 OnStored(value, aStatus);
               });
}

void
gpStoreWriter::OnStored(const std::string& aValue, const absl::Status& aStatus)
{
  const bool wasFailing = std::exchange(isFailing_, !aStatus.ok());
  if (isFailing_) {
    if (!wasFailing) {
      failed_(aStatus);
    }
    timers_.Subscribe(gpEventLoop::Now() + kRetryPause, [this] { Send(); });
    return;
  }
  isSending_ = aValue != record_.value_;
  if (isSending_) {
    Send();
  }
}
