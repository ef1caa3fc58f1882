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

/// How the log service behaves.
enum class gpLogMode
{
  Up,
  Refuse,      ///< answers 503
  Hang,        ///< doesn't answer and writes nothing
  LoseAnswers, ///< writes a record, then closes the connection
};

/** \class gpLogFaults
 * \brief What the control port sets.
 */
struct gpLogFaults
{
  gpLogMode mode_ = gpLogMode::Up;
  /// Time until a call is carried out.
  gpMillis delay_{ 0 };
  /// Appends over this rate wait.
  double appendsPerSecond_ = 400;
};

/** \class gpLogCounts
 * \brief Calls since the start.
 */
struct gpLogCounts
{
  std::uint64_t appends_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t hung_ = 0;
  /// Appends that were written and not answered.
  std::uint64_t lostAnswers_ = 0;
};

/** \class gpLogStandIn
 * \brief Takes the place of the platform's log service; docs/log-service.md.
 */
class gpLogStandIn
{
public:
  gpLogStandIn(gpEventLoop& aLoop, gpTimerService& aTimers);

  /// Listens; port 0 takes a free one. Returns the address in use.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  const gpLogFaults& GetFaults() const { return faults_; }
  /// Reads that wait end with the mode that they waited in.
  void SetFaults(const gpLogFaults& aFaults);
  gpLogStreams& GetStreams() { return streams_; }
  const gpLogCounts& GetCounts() const { return counts_; }

private:
  /// A read that waits for a record.
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
  void OnCallerGone(gpRequestId aId);
  void CarryOut(gpRequestId aId, const gpHttpRequest& aRequest);
  void QueueAppend(gpRequestId aId, std::string aStream, std::string aRecord);
  void Append(gpRequestId aId, const std::string& aStream, std::string aRecord);
  void Read(Reader aReader, gpMillis aWait);
  void AnswerRead(const Reader& aReader);
  void EndReader(Readers::iterator aReader);
  /// Answers the readers of a stream that have something to read.
  void WakeReaders(const std::string& aStream);
  void Refuse(gpRequestId aId);

  gpTimerService& timers_;
  gpHttpServer server_;
  gpLogFaults faults_;
  gpLogStreams streams_;
  gpLogCounts counts_;
  Readers readers_;
  /// When the next append may be written.
  gpTime nextAppend_;
};
