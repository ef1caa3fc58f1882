#include "gpSoakRecord.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <utility>

#include <boost/json.hpp>

namespace {

/// The capacity of a worker's stand-in, in tasks of the soak's jobs.
constexpr std::size_t kWorkerCapacity = 4;
/// A worker may get new runs for this long after it first announced that it
/// leaves: drainMs of the platform.
constexpr gpMillis kDrainBound{ 3000 };
/// Longest time that a run may go on after the last submission of its job has
/// ended: covers the longest silence of a link, the longest lease and the
/// longest freeze of a plan.
constexpr gpMillis kMaxTimeAfterCallers{ 4000 };
/// A request that is sent less than this before the exit may never be read.
constexpr gpMillis kUnreadTime{ 100 };

using Violations = std::vector<std::string>;

std::string
JobOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

/// Groups the submissions by job.
std::map<std::string, std::vector<gpSoakSubmission>>
SubmissionsByJob(const gpSoakRecord& aRecord)
{
  std::map<std::string, std::vector<gpSoakSubmission>> byJob;
  for (const gpSoakSubmission& submission : aRecord.submissions_) {
    byJob[submission.job_].push_back(submission);
  }
  return byJob;
}

bool
Overlaps(const gpSoakSpan& aSpan, gpTime aFrom, gpTime aTo)
{
  return aSpan.from_ < aTo && aFrom < aSpan.to_;
}

/// Checks that no task has two runs at the same time.
void
CheckConcurrentRuns(const gpSoakRecord& aRecord, Violations& aOut)
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

/// Checks that no worker runs more tasks than its capacity.
void
CheckCapacity(const gpSoakRecord& aRecord, Violations& aOut)
{
  std::map<std::size_t, std::multimap<gpTime, int>> changes;
  for (const gpSoakRun& run : aRecord.runs_) {
    if (run.startedAt_ < run.endedAt_) {
      // The end is moved one tick earlier, so that a run that ends when another
      // starts isn't counted together with it.
      changes[run.worker_].emplace(run.startedAt_, 1);
      changes[run.worker_].emplace(run.endedAt_ - gpTime::duration(1), -1);
    }
  }
  for (const auto& [worker, steps] : changes) {
    int running = 0;
    for (const auto& [at, step] : steps) {
      running += step;
      if (running > static_cast<int>(kWorkerCapacity)) {
        aOut.push_back("worker " + std::to_string(worker) +
                       " runs more tasks than its capacity");
        break;
      }
    }
  }
}

/// Checks that each run belongs to a submitted job, and ends soon after the
/// last caller of the job has its answer or has disconnected.
void
CheckRequested(const gpSoakRecord& aRecord, Violations& aOut)
{
  const auto byJob = SubmissionsByJob(aRecord);
  for (const gpSoakRun& run : aRecord.runs_) {
    const auto submissions = byJob.find(JobOf(run.task_));
    if (submissions == byJob.end()) {
      aOut.push_back(run.task_ + " was started without a job");
      continue;
    }
    gpTime lastEnd;
    for (const gpSoakSubmission& submission : submissions->second) {
      lastEnd = std::max(lastEnd, submission.endedAt_);
    }
    if (run.endedAt_ > lastEnd + kMaxTimeAfterCallers) {
      aOut.push_back(run.task_ +
                     " kept running after its last submission had ended");
    }
  }
}

/// Checks that a job that was reported as completed has a finished run of each
/// task.
void
CheckComplete(const gpSoakSubmission& aSubmission,
              const std::set<std::string>& aDone,
              Violations& aOut)
{
  for (std::size_t task = 0; task < aSubmission.tasks_; ++task) {
    std::string id = aSubmission.job_;
    id += ".0.0.";
    id += std::to_string(task);
    if (!aDone.contains(id)) {
      aOut.push_back("job reported as completed without a finished run of " +
                     id);
    }
  }
}

/// Checks that the answers to callers agree with the workers' journals.
void
CheckAnswers(const gpSoakRecord& aRecord, Violations& aOut)
{
  std::set<std::string> started;
  std::set<std::string> done;
  for (const gpSoakRun& run : aRecord.runs_) {
    started.insert(JobOf(run.task_));
    if (run.done_) {
      done.insert(run.task_);
    }
  }
  for (const auto& [job, submissions] : SubmissionsByJob(aRecord)) {
    bool allNotRun = true;
    for (const gpSoakSubmission& submission : submissions) {
      allNotRun = allNotRun && submission.outcome_ == gpSoakOutcome::NotRun;
      if (submission.outcome_ == gpSoakOutcome::Failed) {
        aOut.push_back(job + " was reported as failed, but no task failed");
      }
      if (submission.outcome_ == gpSoakOutcome::Completed) {
        CheckComplete(submission, done, aOut);
      }
    }
    if (allNotRun && started.contains(job)) {
      aOut.push_back(job + " was reported as not run, but was started");
    }
  }
}

/// Checks that no run is started at a draining worker after kDrainBound.
void
CheckDrains(const gpSoakRecord& aRecord, Violations& aOut)
{
  for (const gpSoakSpan& drain : aRecord.drains_) {
    for (const gpSoakRun& run : aRecord.runs_) {
      if (run.worker_ == drain.processIndex_ &&
          run.startedAt_ > drain.from_ + kDrainBound &&
          run.startedAt_ < drain.to_) {
        aOut.push_back(run.task_ + " was started at a draining worker");
      }
    }
  }
}

/// Checks that a graceful shutdown breaks no connection with an open request,
/// unless the entry was also killed or frozen.
void
CheckShutdowns(const gpSoakRecord& aRecord, Violations& aOut)
{
  for (const gpSoakSpan& shutdown : aRecord.shutdowns_) {
    const bool isDisrupted =
      std::any_of(aRecord.disruptions_.begin(),
                  aRecord.disruptions_.end(),
                  [&](const auto& aSpan) {
                    return aSpan.processIndex_ == shutdown.processIndex_ &&
                           Overlaps(aSpan, shutdown.from_, shutdown.to_);
                  });
    for (const gpSoakSubmission& submission : aRecord.submissions_) {
      if (!isDisrupted &&
          submission.outcome_ == gpSoakOutcome::ConnectionLost &&
          submission.entry_ == shutdown.processIndex_ &&
          submission.sentAt_ < shutdown.to_ - kUnreadTime &&
          submission.endedAt_ > shutdown.from_) {
        aOut.push_back(submission.job_ +
                       " lost its connection during a graceful shutdown");
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
      continue; // the worker was killed while it wrote this line
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
gpCheckSoakRecord(const gpSoakRecord& aRecord)
{
  Violations violations;
  CheckConcurrentRuns(aRecord, violations);
  CheckCapacity(aRecord, violations);
  CheckRequested(aRecord, violations);
  CheckAnswers(aRecord, violations);
  CheckDrains(aRecord, violations);
  CheckShutdowns(aRecord, violations);
  return violations;
}
