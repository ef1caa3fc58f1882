#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <absl/status/statusor.h>
#include <boost/json.hpp>

#include "gpHttpClient.h"
#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpRunJournal.h"
#include "gpSimTarget.h"
#include "gpTimerService.h"

/** \class gpWorkerStandIn
 * \brief A worker of the platform as its published calls have it: run-start,
 * run-stop and hold, and heartbeats to its guard. Runs end by time.
 *
 * A job's spec is {"run_ms": 50, "fails": false}.
 */
class gpWorkerStandIn
{
public:
  gpWorkerStandIn(gpEventLoop& aLoop, gpTimerService& aTimers);

  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  /// Writes all starts and ends to the file from now on.
  absl::Status OpenJournal(const std::string& aFile);
  /// Sends heartbeats there from now on.
  void SetGuard(const gpAddress& aGuard);
  void SetDraining(bool aDraining) { draining_ = aDraining; }
  /// Doesn't answer so many of the next starts, but carries them out.
  void LoseStarts(std::uint64_t aCount) { loseStarts_ = aCount; }
  /// Starts by task, and the most runs of one task at one time.
  boost::json::object Show();

private:
  void OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp);
  gpHttpResponse OnStart(const boost::json::object& aBody);
  gpHttpResponse OnStop(const boost::json::object& aBody);
  void OnHold(gpRequestId aRequest, const boost::json::object& aBody);
  void AnswerHold(gpRequestId aRequest, const gpLookAtTarget& aLook);
  gpHttpResponse Answer(gpOrderReply aReply) const;
  void Beat();
  /// Ends what has come due, now and then.
  void Advance();
  /// Writes the ends to the journal. To be called before an answer tells of
  /// them, as the process may be killed right after it.
  void NoteEnds() { journal_.NoteEnds(target_.TakeEnds()); }

  gpTimerService& timers_;
  gpHttpServer server_;
  gpHttpClient client_;
  gpSimTarget target_;
  gpAddress guard_;
  std::uint64_t sequence_ = 0;
  std::uint64_t loseStarts_ = 0;
  bool draining_ = false;
  bool beating_ = false;
  gpRunJournal journal_;
  std::map<std::string, std::uint64_t> starts_;
};
