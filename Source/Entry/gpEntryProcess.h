#pragma once

#include <map>
#include <memory>
#include <string>

#include "gpEffect.h"
#include "gpEntryReducer.h"
#include "gpProcess.h"
#include "gpWorkPool.h"

/** \class gpEntryProcess
 * \brief Runs an entry: passes events to its reducer, which makes the
 * decisions, and executes the effects that it returns.
 */
class gpEntryProcess
{
public:
  explicit gpEntryProcess(const gpEntrySettings& aSettings);

  /// Opens the event log and listens.
  absl::Status Open();
  /// Runs the event loop until the entry has shut down.
  void Run();

private:
  gpProcess::Handlers MakeHandlers();
  void OnRequest(gpRequestId aRequest, gpHttpRequest aHttp);
  void OnSubmission(gpRequestId aRequest, gpHttpRequest aHttp);
  void OnLookup(gpRequestId aRequest, const gpHttpRequest& aHttp);
  std::string StatusFields() const;
  template<typename Input>
  void Reduce(Input aInput);
  /// Passes the input to the reducer, or drops it if Open hasn't yet made one.
  template<typename Input>
  void ReduceIfOpen(Input aInput);

  void Execute(gpSend& aEffect);
  void Execute(gpAnswerCaller& aEffect);
  void Execute(gpWatchAddress& aEffect);
  void Execute(gpUnwatchAddress& aEffect);
  void Execute(gpWakeAt& aEffect);
  void Execute(gpWriteTimeline& aEffect);
  void Execute(gpRemoveMembers& aEffect);
  void Execute(gpStop& aEffect);
  /// Ignores the effects that only guards have.
  template<typename Effect>
  void Execute(Effect&)
  {
  }

  gpTimings timings_;
  gpProcess process_;
  /// Threads that parse large submissions.
  gpWorkPool parserPool_;
  /// Arrival times of the submissions that have not been answered.
  std::map<gpRequestId, gpTime> receivedAt_;
  std::unique_ptr<gpEntryReducer> reducer_;
};
