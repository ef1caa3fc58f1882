#include "gpSoakRecord.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <utility>

#include <boost/json.hpp>

namespace {

/// The room of a worker's stand-in, in tasks of the soak's jobs.
constexpr std::size_t kTasksAtOnce = 4;
/// After a worker's first announcement that it leaves; drainMs of the platform.
constexpr gpMillis kDrainBound{ 3000 };
/// Longest time that runs outlive the last attempt at their job: the longest
/// silence of a link, the longest lease and the longest freeze of a plan.
constexpr gpMillis kLongestAfterlife{ 4000 };
/// A request sent so shortly before the exit may never be read.
constexpr gpMillis kUnreadTime{ 100 };

using Complaints = std::vector<std::string>;

std::string
JobOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

/// All attempts at one job.
std::map<std::string, std::vector<gpSoakAttempt>>
AttemptsByJob(const gpSoakRecord& aRecord)
{
  std::map<std::string, std::vector<gpSoakAttempt>> byJob;
  for (const gpSoakAttempt& attempt : aRecord.attempts_) {
    byJob[attempt.job_].push_back(attempt);
  }
  return byJob;
}

bool
Overlaps(const gpSoakSpan& aSpan, gpTime aFrom, gpTime aTo)
{
  return aSpan.from_ < aTo && aFrom < aSpan.to_;
}

/// No task runs twice at one time.
void
CheckTwice(const gpSoakRecord& aRecord, Complaints& aOut)
{
  std::map<std::string, std::vector<gpSoakRun>> byTask;
  for (const gpSoakRun& run : aRecord.runs_) {
    byTask[run.task_].push_back(run);
  }
  for (auto& [task, runs] : byTask) {
    std::sort(runs.begin(), runs.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.startedAt_ < aTwo.startedAt_;
    });
    for (std::size_t index = 1; index < runs.size(); ++index) {
      if (runs[index].startedAt_ < runs[index - 1].endedAt_) {
        aOut.push_back("two runs of " + task + " at one time");
      }
    }
  }
}

/// No worker runs more than it has room for.
void
CheckRoom(const gpSoakRecord& aRecord, Complaints& aOut)
{
  std::map<std::size_t, std::multimap<gpTime, int>> changes;
  for (const gpSoakRun& run : aRecord.runs_) {
    if (run.startedAt_ < run.endedAt_) {
      // At one time, ends stand before starts.
      changes[run.worker_].emplace(run.startedAt_, 1);
      changes[run.worker_].emplace(run.endedAt_ - gpTime::duration(1), -1);
    }
  }
  for (const auto& [worker, steps] : changes) {
    int running = 0;
    for (const auto& [at, step] : steps) {
      running += step;
      if (running > static_cast<int>(kTasksAtOnce)) {
        aOut.push_back("worker " + std::to_string(worker) +
                       " has more to do than it has room for");
        break;
      }
    }
  }
}

/// Starts were asked for, and end soon after the last caller has gone.
void
CheckAsked(const gpSoakRecord& aRecord, Complaints& aOut)
{
  const auto byJob = AttemptsByJob(aRecord);
  for (const gpSoakRun& run : aRecord.runs_) {
    const auto attempts = byJob.find(JobOf(run.task_));
    if (attempts == byJob.end()) {
      aOut.push_back(run.task_ + " was started without a job");
      continue;
    }
    gpTime lastEnd;
    for (const gpSoakAttempt& attempt : attempts->second) {
      lastEnd = std::max(lastEnd, attempt.endedAt_);
    }
    if (run.endedAt_ > lastEnd + kLongestAfterlife) {
      aOut.push_back(run.task_ + " ran on after its callers had gone");
    }
  }
}

/// A job that is said to be complete has an end of each task.
void
CheckComplete(const gpSoakAttempt& aAttempt,
              const std::set<std::string>& aDone,
              Complaints& aOut)
{
  for (std::size_t task = 0; task < aAttempt.tasks_; ++task) {
    std::string id = aAttempt.job_;
    id += ".0.0.";
    id += std::to_string(task);
    if (!aDone.contains(id)) {
      aOut.push_back("complete without an end of " + id);
    }
  }
}

/// Answers say the truth.
void
CheckAnswers(const gpSoakRecord& aRecord, Complaints& aOut)
{
  std::set<std::string> started;
  std::set<std::string> done;
  for (const gpSoakRun& run : aRecord.runs_) {
    started.insert(JobOf(run.task_));
    if (run.done_) {
      done.insert(run.task_);
    }
  }
  for (const auto& [job, attempts] : AttemptsByJob(aRecord)) {
    bool allNotRun = true;
    for (const gpSoakAttempt& attempt : attempts) {
      allNotRun = allNotRun && attempt.outcome_ == gpSoakOutcome::NotRun;
      if (attempt.outcome_ == gpSoakOutcome::Failed) {
        aOut.push_back(job + " was said to have failed, and no task did");
      }
      if (attempt.outcome_ == gpSoakOutcome::Completed) {
        CheckComplete(attempt, done, aOut);
      }
    }
    if (allNotRun && started.contains(job)) {
      aOut.push_back(job + " was said not to have run, and was started");
    }
  }
}

/// A leaving worker gets nothing new.
void
CheckDrains(const gpSoakRecord& aRecord, Complaints& aOut)
{
  for (const gpSoakSpan& drain : aRecord.drains_) {
    for (const gpSoakRun& run : aRecord.runs_) {
      if (run.worker_ == drain.subject_ &&
          run.startedAt_ > drain.from_ + kDrainBound &&
          run.startedAt_ < drain.to_) {
        aOut.push_back(run.task_ + " was started at a leaving worker");
      }
    }
  }
}

/// A graceful shutdown cuts no request.
void
CheckShutdowns(const gpSoakRecord& aRecord, Complaints& aOut)
{
  for (const gpSoakSpan& shutdown : aRecord.shutdowns_) {
    const bool isStruck = std::any_of(
      aRecord.struck_.begin(), aRecord.struck_.end(), [&](const auto& aSpan) {
        return aSpan.subject_ == shutdown.subject_ &&
               Overlaps(aSpan, shutdown.from_, shutdown.to_);
      });
    for (const gpSoakAttempt& attempt : aRecord.attempts_) {
      if (!isStruck && attempt.outcome_ == gpSoakOutcome::Cut &&
          attempt.entry_ == shutdown.subject_ &&
          attempt.sentAt_ < shutdown.to_ - kUnreadTime &&
          attempt.endedAt_ > shutdown.from_) {
        aOut.push_back(attempt.job_ + " was cut by a graceful shutdown");
      }
    }
  }
}

} // namespace

std::vector<gpSoakRun>
gpReadSoakRuns(const std::filesystem::path& aJournal,
               std::size_t aWorker,
               const std::vector<gpTime>& aKills)
{
  std::map<std::pair<std::string, std::uint64_t>, gpSoakRun> open;
  std::vector<gpSoakRun> runs;
  std::ifstream file(aJournal);
  for (std::string text; std::getline(file, text);) {
    boost::system::error_code error;
    const boost::json::value line = boost::json::parse(text, error);
    if (error) {
      continue; // cut off by a kill
    }
    const std::string task(line.at("task").as_string());
    const auto number = line.at("number").to_number<std::uint64_t>();
    const auto event = line.at("event").as_string();
    const gpTime at{ gpMicros(line.at("at_us").to_number<std::int64_t>()) };
    if (event == "started") {
      open[{ task, number }] = { task, aWorker, at, gpTime::max(), false };
      continue;
    }
    const auto found = open.find({ task, number });
    if (found != open.end()) {
      found->second.endedAt_ = at;
      found->second.done_ = event == "done";
      runs.push_back(found->second);
      open.erase(found);
    }
  }
  for (auto& [id, run] : open) {
    for (const gpTime kill : aKills) {
      run.endedAt_ =
        kill > run.startedAt_ ? std::min(run.endedAt_, kill) : run.endedAt_;
    }
    runs.push_back(run);
  }
  return runs;
}

std::vector<std::string>
gpJudgeSoak(const gpSoakRecord& aRecord)
{
  Complaints complaints;
  CheckTwice(aRecord, complaints);
  CheckRoom(aRecord, complaints);
  CheckAsked(aRecord, complaints);
  CheckAnswers(aRecord, complaints);
  CheckDrains(aRecord, complaints);
  CheckShutdowns(aRecord, complaints);
  return complaints;
}
