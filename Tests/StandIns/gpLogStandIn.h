#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>

#include <absl/status/statusor.h>

#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpLogStreams.h"
#include "gpTimerService.h"

/// How the log service treats requests.
enum class gpLogMode
{
  Up,          ///< works normally
  Refuse,      ///< answers 503
  Hang,        ///< writes nothing and does not respond
  LoseAnswers, ///< writes the record, then closes the connection
};

/** \class gpLogFaults
 * \brief The behaviour that is set through the control interface.
 */
struct gpLogFaults
{
  gpLogMode mode_ = gpLogMode::Up;
  /// Delay between the arrival of a request and its execution.
  gpMillis delay_{ 0 };
  /// Maximum rate of appends; further ones are delayed.
  double appendsPerSecond_ = 400;
};

/** \class gpLogCounts
 * \brief Numbers of requests since the start, by outcome.
 */
struct gpLogCounts
{
  std::uint64_t appends_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t hung_ = 0;
  /// Appends that were written but not answered.
  std::uint64_t lostAnswers_ = 0;
};

/** \class gpLogStandIn
 * \brief Replaces the platform's log service in tests: append-only streams of
 * records over HTTP, kept in memory. docs/log-service.md describes the API.
 */
class gpLogStandIn
{
public:
  gpLogStandIn(gpEventLoop& aLoop, gpTimerService& aTimers);

  /// Starts to listen; port 0 selects a free port. Returns the bound address.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  const gpLogFaults& GetFaults() const { return faults_; }
  /// A change of the mode ends all waiting reads: they are refused in mode
  /// Refuse, left unanswered in mode Hang, and answered otherwise.
  void SetFaults(const gpLogFaults& aFaults);
  gpLogStreams& GetStreams() { return streams_; }
  const gpLogCounts& GetCounts() const { return counts_; }

private:
  /// A read request that waits for a new record.
  struct Reader
  {
    gpRequestId request_;
    std::string stream_;
    std::uint64_t from_ = 0;
    std::size_t max_ = 0;
    gpTimerId timeout_{};
  };
  using Readers = std::list<Reader>;

  void OnRequest(gpRequestId aId, const gpHttpRequest& aRequest);
  void OnCallerDisconnected(gpRequestId aId);
  void CarryOut(gpRequestId aId, const gpHttpRequest& aRequest);
  void QueueAppend(gpRequestId aId, std::string aStream, std::string aRecord);
  void Append(gpRequestId aId, const std::string& aStream, std::string aRecord);
  void Read(Reader aReader, gpMillis aWait);
  void AnswerRead(const Reader& aReader);
  void AnswerAndRemoveReader(Readers::iterator aReader);
  /// Answers the waiting readers of a stream for which a record has arrived.
  void AnswerWaitingReaders(const std::string& aStream);
  void Refuse(gpRequestId aId);

  gpTimerService& timers_;
  gpHttpServer server_;
  gpLogFaults faults_;
  gpLogStreams streams_;
  gpLogCounts counts_;
  Readers readers_;
  /// Earliest time of the next append under the rate limit.
  gpTime nextAppend_;
};
