#pragma once

#include <map>
#include <memory>
#include <string>

#include "gpEffect.h"
#include "gpEntryReducer.h"
#include "gpProcess.h"
#include "gpWorkPool.h"

/** \class gpEntryProcess
 * \brief Runs an entry: gives events to its reducer and carries out effects.
 */
class gpEntryProcess
{
public:
  explicit gpEntryProcess(const gpEntrySettings& aSettings);

  /// Opens the event log and listens.
  absl::Status Open();
  /// Runs until the entry was asked to end and has done so.
  void Run();

private:
  gpProcess::Handlers MakeHandlers();
  void OnRequest(gpRequestId aRequest, gpHttpRequest aHttp);
  void OnSubmission(gpRequestId aRequest, gpHttpRequest aHttp);
  void OnLookup(gpRequestId aRequest, const gpHttpRequest& aHttp);
  std::string StatusFields() const;
  template<typename Input>
  void Reduce(Input aInput);
  /// Input of the reducer that's known only after Open.
  template<typename Input>
  void ReduceIfOpen(Input aInput);

  void Carry(gpSend& aEffect);
  void Carry(gpAnswerCaller& aEffect);
  void Carry(gpWatchAddress& aEffect);
  void Carry(gpUnwatchAddress& aEffect);
  void Carry(gpWakeAt& aEffect);
  void Carry(gpWriteTimeline& aEffect);
  void Carry(gpRemoveMembers& aEffect);
  void Carry(gpStop& aEffect);
  /// An effect that only guards have.
  template<typename Effect>
  void Carry(Effect&)
  {
  }

  gpTimings timings_;
  gpProcess process_;
  /// Parses submissions and renders answers beside the event loop.
  gpWorkPool work_;
  /// When each submission that has no answer yet came.
  std::map<gpRequestId, gpTime> receivedAt_;
  std::unique_ptr<gpEntryReducer> reducer_;
};
