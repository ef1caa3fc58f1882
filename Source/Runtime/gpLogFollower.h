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
 * \brief Reads one stream on and on, with pauses after failures.
 */
class gpLogFollower : public std::enable_shared_from_this<gpLogFollower>
{
public:
  using ReadHandler = std::function<void(absl::StatusOr<gpLogBatch>)>;
  struct Handlers
  {
    /// Reads once, from an offset, waiting up to a time.
    std::function<void(gpLogOffset, gpMillis, ReadHandler)> read_;
    std::function<void(const gpLogBatch&)> batch_;
    std::function<void(const absl::Status&)> health_;
    /// Each read that succeeded; may be empty.
    std::function<void()> contact_;
  };

  gpLogFollower(gpTimerService& aTimers, gpLogOffset aFrom, Handlers aHandlers);
  ~gpLogFollower();
  gpLogFollower(const gpLogFollower&) = delete;
  gpLogFollower& operator=(const gpLogFollower&) = delete;

  void Read();
  /// No handler is called any more.
  void Stop();

private:
  void OnRead(const absl::StatusOr<gpLogBatch>& aBatch);
  void PauseAndRead();
  void OnBatch(const gpLogBatch& aBatch);
  void ReportHealth(const absl::Status& aStatus);

  gpTimerService& timers_;
  gpLogOffset next_;
  Handlers handlers_;
  gpMillis pause_;
  gpTimerId timer_;
  /// Whether the last read succeeded; not set before the first has ended.
  std::optional<bool> isHealthy_;
  bool hadBatch_ = false;
  bool stopped_ = false;
};
