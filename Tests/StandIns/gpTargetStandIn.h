#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpTargetJournal.h"
#include "gpTimerService.h"

/** \class gpTargetBehaviour
 * \brief What the control port sets.
 */
struct gpTargetBehaviour
{
  /// Factor on the run times.
  double speed_ = 1;
  /// Answers 500 at once.
  bool failAll_ = false;
  /// Doesn't answer the tasks that start, until it's false again.
  bool hang_ = false;
  /// Closes the connection of the next task that starts.
  bool crashNext_ = false;
};

/** \class gpTargetCounts
 * \brief What has run.
 */
struct gpTargetCounts
{
  std::size_t running_ = 0;
  std::size_t peakRunning_ = 0;
  /// Callers that closed their connection before the answer.
  std::uint64_t cut_ = 0;
};

/** \class gpTargetStandIn
 * \brief A target: runs tasks by timer, and counts their starts.
 *
 * A task's body may be JSON: {"run_ms": 50, "answer": "text", "status": 200}.
 */
class gpTargetStandIn
{
public:
  gpTargetStandIn(gpEventLoop& aLoop,
                  gpTimerService& aTimers,
                  gpTargetJournal& aJournal,
                  std::size_t aSlots);

  /// Listens; port 0 takes a free one. Returns the address in use.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  const gpTargetBehaviour& GetBehaviour() const { return behaviour_; }
  void SetBehaviour(const gpTargetBehaviour& aBehaviour);
  const gpTargetCounts& GetCounts() const { return counts_; }
  const gpTargetJournal& GetJournal() const { return journal_; }
  /// Calls the handler once all work has ended and been answered.
  void Drain(std::function<void()> aDrained);

private:
  /// One task that a caller asks for.
  struct Call
  {
    gpRequestId request_;
    std::string key_;
    gpMillis runTime_{ 0 };
    gpHttpResponse response_;
  };

  static Call ParseCall(gpRequestId aId, const gpHttpRequest& aRequest);
  void OnCallerGone(gpRequestId aId);
  void StartWaiting();
  void Start(Call aCall);
  void End(gpRequestId aRequest, gpHttpResponse aResponse);
  void DrainIfIdle();

  gpTimerService& timers_;
  gpTargetJournal& journal_;
  std::size_t slots_;
  gpTargetBehaviour behaviour_;
  gpTargetCounts counts_;
  /// Calls without a slot, the first to come first.
  std::deque<Call> waiting_;
  std::vector<Call> hung_;
  std::function<void()> drained_;
  gpHttpServer server_;
};
