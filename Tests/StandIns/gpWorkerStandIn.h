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
 * \brief A worker with the published API of the platform: it serves run-start,
 * run-stop and hold, and sends heartbeats to its guard. Runs are simulated and
 * end after the time given in their spec.
 *
 * A job's spec is {"run_ms": 50}. If it also has the key "fails", with any
 * value, the run fails.
 */
class gpWorkerStandIn
{
public:
  gpWorkerStandIn(gpEventLoop& aLoop, gpTimerService& aTimers);

  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  /// Opens the file for appending. Starts and ends of runs are recorded in it
  /// from this call on.
  absl::Status OpenJournal(const std::string& aFile);
  /// Sets the guard that receives the heartbeats, and starts to send them.
  void SetGuard(const gpAddress& aGuard);
  void SetDraining(bool aDraining) { draining_ = aDraining; }
  /// Carries out the next aCount starts without responding to them.
  void LoseStarts(std::uint64_t aCount) { loseStarts_ = aCount; }
  /// Ignores the next aCount stops.
  void LoseStops(std::uint64_t aCount) { loseStops_ = aCount; }
  /// Returns the number of starts of each task, the number of current runs, the
  /// ID and the last heartbeat.
  boost::json::object Show();

private:
  void OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp);
  gpHttpResponse OnStart(const boost::json::object& aBody);
  gpHttpResponse OnStop(const boost::json::object& aBody);
  void OnHold(gpRequestId aRequest, const boost::json::object& aBody);
  void AnswerHold(gpRequestId aRequest, const gpPollTarget& aPoll);
  gpHttpResponse MakeOrderResponse(gpOrderReply aReply) const;
  void SendHeartbeat();
  /// Ends the runs that are due, every few milliseconds.
  void AdvancePeriodically();
  /// Writes the ends of runs to the journal. Must be called before a response
  /// reports them, because the process may be killed right after the response.
  void NoteEnds() { journal_.NoteEnds(target_.TakeEnds()); }

  gpTimerService& timers_;
  gpHttpServer server_;
  gpHttpClient client_;
  gpSimTarget target_;
  gpAddress address_;
  gpAddress guard_;
  std::uint64_t sequence_ = 0;
  std::uint64_t loseStarts_ = 0;
  std::uint64_t loseStops_ = 0;
  boost::json::object heartbeat_;
  bool draining_ = false;
  bool sendsHeartbeats_ = false;
  gpRunJournal journal_;
  std::map<std::string, std::uint64_t> starts_;
};
