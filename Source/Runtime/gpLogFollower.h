#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "gpIds.h"
#include "gpLogClient.h"
#include "gpTime.h"
#include "gpTimerService.h"

/** \class gpLogFollower
 * \brief Reads one stream continuously, with delays after failures.
 *
 * Internal to this folder; implements gpLogClient::Follow.
 */
class gpLogFollower : public std::enable_shared_from_this<gpLogFollower>
{
public:
  using ReadHandler = std::function<void(absl::StatusOr<gpLogBatch>)>;
  struct Handlers
  {
    /// Performs one read, from an offset; the service waits up to the given
    /// time for a record.
    std::function<void(gpLogOffset, gpMillis, ReadHandler)> read_;
    /// Receives each batch with records, and the first batch even if empty.
    std::function<void(const gpLogBatch&)> batch_;
    /// Receives the result of the first read, and of each one that failed after
    /// a success or succeeded after a failure.
    std::function<void(const absl::Status&)> health_;
    /// Called after each successful read; may be empty.
    std::function<void()> contact_;
  };

  gpLogFollower(gpTimerService& aTimers, gpLogOffset aFrom, Handlers aHandlers);
  ~gpLogFollower();
  gpLogFollower(const gpLogFollower&) = delete;
  gpLogFollower& operator=(const gpLogFollower&) = delete;

  /// Starts the next read; call it once, further reads follow by themselves.
  void Read();
  /// Ends reading. No handler is called any more.
  void Stop();

private:
  void OnRead(const absl::StatusOr<gpLogBatch>& aBatch);
  void ReadAfterDelay();
  void OnBatch(const gpLogBatch& aBatch);
  void ReportHealth(const absl::Status& aStatus);

  gpTimerService& timers_;
  gpLogOffset next_;
  Handlers handlers_;
  gpMillis retryDelay_;
  gpTimerId timer_;
  /// Whether the last read succeeded; not set before the first one has ended.
  std::optional<bool> isHealthy_;
  bool hadBatch_ = false;
  bool stopped_ = false;
};
