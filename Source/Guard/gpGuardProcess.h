#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gpEffect.h"
#include "gpGuardReducer.h"
#include "gpProcess.h"

/** \class gpGuardProcess
 * \brief Runs a guard: gives events to its reducer and carries out effects.
 */
class gpGuardProcess
{
public:
  explicit gpGuardProcess(const gpGuardSettings& aSettings);

  /// Opens the event log and listens.
  absl::Status Open();
  /// Runs until the guard was asked to end and has done so.
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
  /// Input of the reducer that's known only after Open.
  template<typename Input>
  void ReduceIfOpen(Input aInput);

  void Carry(gpSend& aEffect);
  void Carry(gpWatchAddress& aEffect);
  void Carry(gpUnwatchAddress& aEffect);
  void Carry(gpWakeAt& aEffect);
  void Carry(gpWriteTimeline& aEffect);
  void Carry(gpJoinRoster& aEffect);
  void Carry(gpRemoveMembers& aEffect);
  void Carry(gpCallTarget& aEffect);
  void Carry(gpAbortCall& aEffect);
  void Carry(gpReleaseTarget& aEffect);
  void Carry(gpStop& aEffect);
  /// An effect that only entries have.
  template<typename Effect>
  void Carry(Effect&)
  {
  }

  gpGuardSettings settings_;
  gpProcess process_;
  std::unique_ptr<gpGuardReducer> reducer_;
  std::map<gpAttemptId, gpCallId> calls_;
  /// The target's request to leave, until it may.
  std::optional<gpRequestId> leaveRequest_;
  bool released_ = false;
};
