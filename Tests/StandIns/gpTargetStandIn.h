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
 * \brief The behaviour that is set through the control interface.
 */
struct gpTargetBehaviour
{
  /// Factor by which run times are multiplied.
  double speed_ = 1;
  /// Responds to each task with status 500 immediately.
  bool failAll_ = false;
  /// Leaves tasks that start unanswered until this is false again.
  bool hang_ = false;
  /// Closes the connection of the next task that starts, without a response.
  bool crashNext_ = false;
};

/** \class gpTargetCounts
 * \brief Counts of running tasks and of disconnected callers.
 */
struct gpTargetCounts
{
  std::size_t running_ = 0;
  std::size_t peakRunning_ = 0;
  /// Callers that disconnected before the response.
  std::uint64_t cut_ = 0;
};

/** \class gpTargetStandIn
 * \brief A target that simulates tasks by timers and counts their starts.
 *
 * The body of a task may set its result: {"run_ms": 50, "answer": "text",
 * "status": 200}.
 */
class gpTargetStandIn
{
public:
  gpTargetStandIn(gpEventLoop& aLoop,
                  gpTimerService& aTimers,
                  gpTargetJournal& aJournal,
                  std::size_t aSlots);

  /// Starts to listen; port 0 selects a free port. Returns the bound address.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  const gpTargetBehaviour& GetBehaviour() const { return behaviour_; }
  void SetBehaviour(const gpTargetBehaviour& aBehaviour);
  const gpTargetCounts& GetCounts() const { return counts_; }
  const gpTargetJournal& GetJournal() const { return journal_; }
  /// Calls the handler once all tasks have ended and have been answered.
  void Drain(std::function<void()> aDrained);

private:
  /// A caller's request to run a task.
  struct Call
  {
    gpRequestId request_;
    std::string key_;
    gpMillis runTime_{ 0 };
    gpHttpResponse response_;
  };

  static Call ParseCall(gpRequestId aId, const gpHttpRequest& aRequest);
  void OnCallerDisconnected(gpRequestId aId);
  void StartWaitingCalls();
  void Start(Call aCall);
  void End(gpRequestId aRequest, gpHttpResponse aResponse);
  void DrainIfIdle();

  gpTimerService& timers_;
  gpTargetJournal& journal_;
  std::size_t slots_;
  gpTargetBehaviour behaviour_;
  gpTargetCounts counts_;
  /// Calls that wait for a free slot, in order of arrival.
  std::deque<Call> waiting_;
  std::vector<Call> hung_;
  std::function<void()> drained_;
  gpHttpServer server_;
};
