#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

/// Milliseconds on the clock that the stand-ins use in their journals.
using gpReviewMs = std::int64_t;

gpReviewMs
gpReviewNow();

void
gpReviewSleep(gpReviewMs aTime);

/// A loopback port on which nobody listens.
int
gpReviewFreePort();

/** \class gpReviewFailure
 * \brief The case can't run, for a reason that isn't the fault under test.
 */
struct gpReviewFailure
{
  std::string reason_;
};

/** \class gpReviewProcess
 * \brief A child process whose standard output goes to a file. It's killed when
 * this object goes out of scope, or when the case itself dies.
 */
class gpReviewProcess
{
public:
  gpReviewProcess(std::vector<std::string> aCommand, std::string aOutput);
  ~gpReviewProcess();
  gpReviewProcess(const gpReviewProcess&) = delete;
  gpReviewProcess& operator=(const gpReviewProcess&) = delete;

  void Start();
  /// Sends a signal; SIGKILL also waits for the end.
  void Signal(int aSignal);
  void Kill();
  bool IsRunning();
  /// The port that the process has printed for this purpose.
  int WaitForPort(const std::string& aPurpose);

private:
  std::vector<std::string> command_;
  std::string output_;
  pid_t pid_ = 0;
};

/** \class gpReviewAnswer
 * \brief An HTTP response; the status is 0 if there was none.
 */
struct gpReviewAnswer
{
  int status_ = 0;
  std::string body_;
};

/** \class gpReviewCall
 * \brief One HTTP connection of a client, with one request at a time.
 */
class gpReviewCall
{
public:
  explicit gpReviewCall(int aPort);
  ~gpReviewCall();
  gpReviewCall(const gpReviewCall&) = delete;
  gpReviewCall& operator=(const gpReviewCall&) = delete;

  void Send(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const std::map<std::string, std::string>& aHeaders = {});
  gpReviewAnswer Receive(gpReviewMs aTimeout);
  /// Waits until an answer has arrived and resets the connection with the
  /// answer unread. Returns what was lost, for the record.
  std::string Lose(gpReviewMs aTimeout);

private:
  int socket_ = -1;
};

/** \class gpReviewEvent
 * \brief A line of a worker's journal.
 */
struct gpReviewEvent
{
  std::string worker_;
  std::string task_;
  std::string run_;
  std::string event_;
  gpReviewMs at_ = 0;
  /// The same in microseconds: one run may end and the next one start within a
  /// millisecond.
  std::int64_t atUs_ = 0;
};

/** \class gpReviewCluster
 * \brief A small deployment: a store, entries, and guards with their workers,
 * all on loopback addresses.
 */
class gpReviewCluster
{
public:
  static constexpr const char* kHost = "ponds";
  static constexpr const char* kPrefix = "/hold/";

  gpReviewCluster(std::size_t aEntries,
                  std::size_t aGuards,
                  const std::string& aRecord);
  ~gpReviewCluster();
  gpReviewCluster(const gpReviewCluster&) = delete;
  gpReviewCluster& operator=(const gpReviewCluster&) = delete;

  /// Waits until each entry has completed a job.
  void WaitUntilServing();
  gpReviewProcess& Entry(std::size_t aIndex) { return *entries_.at(aIndex); }
  gpReviewProcess& Guard(std::size_t aIndex) { return *guards_.at(aIndex); }
  std::size_t CountEntries() const { return entries_.size(); }
  int CallersPort(std::size_t aIndex) const { return callers_.at(aIndex); }
  /// The body of a best-effort job with one step.
  static std::string JobBody(int aTasks, int aRunMs);
  /// The body of one with a single task, all of whose runs fail.
  static std::string FailingJobBody(int aRunMs);
  static std::string NewId();
  static std::map<std::string, std::string> ClientHeaders(int aDeadlineMs);
  /// All lines of the workers' journals about one job.
  std::vector<gpReviewEvent> ListEvents(const std::string& aJob) const;
  /// Writes a line to the record, with the time since the case began.
  void Note(const std::string& aText);
  void NoteEvents(const std::string& aJob);

private:
  std::string WriteSettings(const std::string& aName, const std::string& aText);
  std::string Common(const std::string& aName) const;

  std::string folder_;
  std::ofstream record_;
  gpReviewMs beganAt_ = gpReviewNow();
  int storePort_ = 0;
  std::vector<int> links_;
  std::vector<int> callers_;
  std::vector<std::string> journals_;
  std::vector<std::unique_ptr<gpReviewProcess>> standIns_;
  std::vector<std::unique_ptr<gpReviewProcess>> entries_;
  std::vector<std::unique_ptr<gpReviewProcess>> guards_;
};

/// Counts the pairs of runs of one task that were at work at one time, by the
/// microseconds of the journals.
int
gpReviewCountPairs(const std::vector<gpReviewEvent>& aEvents);

/// Whether the case is to cause the disruption (TROUBLE isn't 0).
bool
gpReviewHasTrouble();
