#pragma once

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "gpTime.h"

/** \brief What a soak observed from outside the processes; checked at its end.
 *
 * This file holds plain aggregates. All times are those of gpEventLoop::Now.
 */

/** \class gpSoakRun
 * \brief One run of a task at a worker, read from the worker's journal.
 */
struct gpSoakRun
{
  std::string task_;
  std::size_t worker_ = 0;
  gpTime startedAt_;
  /// The time at which the worker was killed, if the kill ended the run.
  gpTime endedAt_;
  bool done_ = false;
};

/// What a caller learned about one submission.
enum class gpSoakOutcome
{
  Completed,
  Failed,             ///< the job was reported as failed
  NotRun,             ///< the job was reported as not run
  Unknown,            ///< a timeout was reported, or no answer came
  ConnectionLost,     ///< the connection broke after the request was sent
  CallerDisconnected, ///< the caller disconnected before the answer
};

/** \class gpSoakSubmission
 * \brief One submission of a job by a caller; a retry is another one.
 */
struct gpSoakSubmission
{
  std::string job_;
  std::size_t tasks_ = 0;
  std::size_t entry_ = 0;
  gpTime sentAt_;
  gpTime endedAt_;
  gpSoakOutcome outcome_ = gpSoakOutcome::Unknown;
};

/** \class gpSoakSpan
 * \brief A period in which a process was in some state.
 */
struct gpSoakSpan
{
  std::size_t processIndex_ = 0;
  gpTime from_;
  gpTime to_ = gpTime::max();
};

/** \class gpSoakRecord
 * \brief The observations of one soak.
 */
struct gpSoakRecord
{
  std::vector<gpSoakRun> runs_;
  std::vector<gpSoakSubmission> submissions_;
  /// Graceful shutdowns of entries, from SIGTERM to the exit.
  std::vector<gpSoakSpan> shutdowns_;
  /// Periods in which entries were killed or frozen, and a second after.
  std::vector<gpSoakSpan> disruptions_;
  /// Periods in which workers announced that they leave.
  std::vector<gpSoakSpan> drains_;
};

/// Reads a worker's journal. A run without a recorded end ended at the first of
/// aKills after its start.
std::vector<gpSoakRun>
gpReadSoakRuns(const std::filesystem::path& aJournal,
               std::size_t aWorker,
               const std::vector<gpTime>& aKills);

/// Returns the guarantees that the record violates, one line each.
std::vector<std::string>
gpCheckSoakRecord(const gpSoakRecord& aRecord);
