#pragma once

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "gpTime.h"

/** \brief What a soak saw from outside, to be judged at its end.
 *
 * A family of plain aggregates shares this file. Times are of gpEventLoop.
 */

/** \class gpSoakRun
 * \brief One run at a worker, from its journal.
 */
struct gpSoakRun
{
  std::string task_;
  std::size_t worker_ = 0;
  gpTime startedAt_;
  /// The time at which the worker was killed, if that was what ended the run.
  gpTime endedAt_;
  bool done_ = false;
};

/// What a caller got for one attempt.
enum class gpSoakOutcome
{
  Completed,
  Failed,  ///< the job was said to have failed
  NotRun,  ///< it was said not to have run
  Unknown, ///< a timeout was answered, or nothing
  Cut,     ///< the connection broke after the request was sent
  Left,    ///< the caller left
};

/** \class gpSoakAttempt
 * \brief One attempt to have a job done.
 */
struct gpSoakAttempt
{
  std::string job_;
  std::size_t tasks_ = 0;
  std::size_t entry_ = 0;
  gpTime sentAt_;
  gpTime endedAt_;
  gpSoakOutcome outcome_ = gpSoakOutcome::Unknown;
};

/** \class gpSoakSpan
 * \brief A time in which something was the case at a process.
 */
struct gpSoakSpan
{
  std::size_t subject_ = 0;
  gpTime from_;
  gpTime to_ = gpTime::max();
};

/** \class gpSoakRecord
 * \brief All of one soak.
 */
struct gpSoakRecord
{
  std::vector<gpSoakRun> runs_;
  std::vector<gpSoakAttempt> attempts_;
  /// Graceful shutdowns of entries, from SIGTERM to the exit.
  std::vector<gpSoakSpan> shutdowns_;
  /// Entries that were killed or frozen.
  std::vector<gpSoakSpan> struck_;
  /// Workers that said that they leave.
  std::vector<gpSoakSpan> drains_;
};

/// Reads a worker's journal. Runs without an end were ended by the first of
/// aKills after their start.
std::vector<gpSoakRun>
gpReadSoakRuns(const std::filesystem::path& aJournal,
               std::size_t aWorker,
               const std::vector<gpTime>& aKills);

/// The promises that the record breaks, one line each.
std::vector<std::string>
gpJudgeSoak(const gpSoakRecord& aRecord);
