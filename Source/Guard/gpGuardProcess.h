#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gpEffect.h"
#include "gpGuardReducer.h"
#include "gpProcess.h"

/** \class gpGuardProcess
 * \brief Runs a guard: passes events to its reducer, which makes the decisions,
 * and executes the effects that it returns.
 */
class gpGuardProcess
{
public:
  explicit gpGuardProcess(const gpGuardSettings& aSettings);

  /// Opens the event log and listens.
  absl::Status Open();
  /// Runs the event loop until the guard has shut down.
  void Run();

private:
  gpProcess::Handlers MakeHandlers();
  void OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp);
  void OnAnnounce(gpRequestId aRequest, const gpHttpRequest& aHttp);
  void OnLeave(gpRequestId aRequest);
  void OnTargetReply(const gpAttemptId& aAttempt, const gpHttpReply& aReply);
  std::string StatusFields() const;
  template<typename Input>
  void Reduce(Input aInput);
  /// Passes the input to the reducer, or drops it if Open hasn't yet made one.
  template<typename Input>
  void ReduceIfOpen(Input aInput);

  void Execute(gpSend& aEffect);
  void Execute(gpWatchAddress& aEffect);
  void Execute(gpUnwatchAddress& aEffect);
  void Execute(gpWakeAt& aEffect);
  void Execute(gpWriteTimeline& aEffect);
  void Execute(gpJoinRoster& aEffect);
  void Execute(gpRemoveMembers& aEffect);
  void Execute(gpCallTarget& aEffect);
  void Execute(gpAbortCall& aEffect);
  void Execute(gpReleaseTarget& aEffect);
  void Execute(gpStop& aEffect);
  /// Ignores the effects that only entries have.
  template<typename Effect>
  void Execute(Effect&)
  {
  }

  gpGuardSettings settings_;
  gpProcess process_;
  std::unique_ptr<gpGuardReducer> reducer_;
  /// Calls to the target that have not been answered.
  std::map<gpAttemptId, gpCallId> calls_;
  /// The target's request to leave; answered once the target is released.
  std::optional<gpRequestId> leaveRequest_;
  /// Set when the target may leave because all its tasks have ended.
  bool isTargetReleased_ = false;
};
