#include "gpJobTrace.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <ctime>
#include <map>
#include <string_view>
#include <utility>

#include <absl/strings/numbers.h>

namespace {

/// The time of a log line, of which the reader has checked the format.
gpTime
TimeOf(const gpTimelineRecord& aRecord)
{
  const auto number = [&aRecord](std::size_t aFirst, std::size_t aDigits) {
    int value = 0;
    (void)absl::SimpleAtoi(aRecord.time_.substr(aFirst, aDigits), &value);
    return value;
  };
  constexpr int kFirstYear = 1900;
  std::tm parts{};
  parts.tm_year = number(0, 4) - kFirstYear;
  parts.tm_mon = number(5, 2) - 1;
  parts.tm_mday = number(8, 2);
  parts.tm_hour = number(11, 2);
  parts.tm_min = number(14, 2);
  parts.tm_sec = number(17, 2);
  return gpTime(std::chrono::seconds(timegm(&parts)) + gpMicros(number(20, 6)));
}

/// The word after aName in a log detail; empty if there is none.
std::string
WordAfter(const std::string& aDetail, std::string_view aName)
{
  const std::string padded = " " + aDetail;
  const std::string name = " " + std::string(aName) + " ";
  const std::size_t found = padded.find(name);
  if (found == std::string::npos) {
    return {};
  }
  const std::size_t first = found + name.size();
  return padded.substr(first, padded.find(' ', first) - first);
}

gpMillis
MillisAfter(const std::string& aDetail, std::string_view aName)
{
  std::int64_t value = 0;
  (void)absl::SimpleAtoi(WordAfter(aDetail, aName), &value);
  return gpMillis(value);
}

/// The first two words of the detail of job_answered: outcome and reason.
std::string
OutcomeIn(const std::string& aDetail)
{
  const std::size_t first = aDetail.find(' ');
  return aDetail.substr(0, aDetail.find(' ', first + 1));
}

/// The ID of the job in the name of a task, ID.0.STEP.INDEX.
std::string
JobOf(const std::string& aTask)
{
  constexpr int kParts = 3;
  std::size_t end = aTask.size();
  for (int part = 0; part < kParts && end != std::string::npos; ++part) {
    end = aTask.rfind('.', end - 1);
  }
  return aTask.substr(0, end);
}

/** \class Tracer
 * \brief Builds the traces from the records in the order of time.
 */
class Tracer
{
public:
  void Add(const gpTimelineRecord& aRecord);
  std::vector<gpJobTrace> Take();

private:
  /// A run by its task and number. Only its entry and its guard log it.
  using Run = std::pair<std::string, std::uint64_t>;
  /// A job by its entry's incarnation and its ID.
  using Job = std::pair<gpIncarnation, std::string>;

  void AddOfEntry(const gpTimelineRecord& aRecord, const std::string& aKey);
  void AddOfGuard(const gpTimelineRecord& aRecord, const std::string& aKey);
  gpJobTrace& Open(const gpTimelineRecord& aRecord, const std::string& aId);
  gpJobTrace* Find(const gpTimelineRecord& aRecord, const std::string& aId);
  void Admit(const gpTimelineRecord& aRecord, const std::string& aId);
  void End(const gpTimelineRecord& aRecord,
           const std::string& aId,
           std::string aOutcome);
  void Report(const gpTimelineRecord& aRecord, const std::string& aTask);

  std::vector<gpJobTrace> traces_;
  /// Indexes of the jobs that have no answer yet.
  std::map<Job, std::size_t> open_;
  std::map<Run, gpRunTrace> runs_;
  /// The last reported run of each job.
  std::map<std::size_t, Run> last_;
};

void
Tracer::Add(const gpTimelineRecord& aRecord)
{
  if (!aRecord.event_.key_.has_value()) {
    return;
  }
  const std::string& key = aRecord.event_.key_->key_.value_;
  if (aRecord.role_ == gpRole::Entry) {
    AddOfEntry(aRecord, key);
  } else if (aRecord.role_ == gpRole::Guard) {
    AddOfGuard(aRecord, key);
  }
}

void
Tracer::AddOfEntry(const gpTimelineRecord& aRecord, const std::string& aKey)
{
  switch (aRecord.event_.kind_) {
    case gpEventKind::JobAdmitted:
      Admit(aRecord, aKey);
      return;
    case gpEventKind::JobAnswered:
      End(aRecord, aKey, OutcomeIn(aRecord.event_.detail_));
      return;
    case gpEventKind::CallerGone:
      End(aRecord, aKey, "cancelled caller_gone");
      return;
    case gpEventKind::TaskWaiting:
      if (gpJobTrace* job = Find(aRecord, aKey)) {
        job->waitedFor_ = WordAfter(aRecord.event_.detail_, "mostly");
      }
      return;
    case gpEventKind::TaskSent:
      runs_[{ aKey, aRecord.event_.number_.value_or(0) }].sentAt_ =
        TimeOf(aRecord);
      return;
    case gpEventKind::TaskEnded:
      Report(aRecord, aKey);
      return;
    case gpEventKind::TaskCancelled:
      if (gpJobTrace* job = Find(aRecord, JobOf(aKey))) {
        ++job->stragglers_;
      }
      return;
    default:
      return;
  }
}

void
Tracer::AddOfGuard(const gpTimelineRecord& aRecord, const std::string& aKey)
{
  gpRunTrace& run = runs_[{ aKey, aRecord.event_.number_.value_or(0) }];
  if (aRecord.event_.kind_ == gpEventKind::TaskAdmitted) {
    run.startedAt_ = TimeOf(aRecord);
  } else if (aRecord.event_.kind_ == gpEventKind::TaskEnded) {
    run.endedAt_ = TimeOf(aRecord);
  }
}

gpJobTrace&
Tracer::Open(const gpTimelineRecord& aRecord, const std::string& aId)
{
  open_[{ aRecord.incarnation_, aId }] = traces_.size();
  gpJobTrace& job = traces_.emplace_back();
  job.arrivedAt_ = TimeOf(aRecord);
  const std::string queue = WordAfter(aRecord.event_.detail_, "queue");
  job.queue_ = queue.empty() ? "unknown" : queue;
  return job;
}

gpJobTrace*
Tracer::Find(const gpTimelineRecord& aRecord, const std::string& aId)
{
  const auto found = open_.find({ aRecord.incarnation_, aId });
  return found == open_.end() ? nullptr : &traces_[found->second];
}

void
Tracer::Admit(const gpTimelineRecord& aRecord, const std::string& aId)
{
  gpJobTrace& job = Open(aRecord, aId);
  job.isAdmitted_ = true;
  job.objective_ = MillisAfter(aRecord.event_.detail_, "objective");
}

void
Tracer::End(const gpTimelineRecord& aRecord,
            const std::string& aId,
            std::string aOutcome)
{
  gpJobTrace* job = Find(aRecord, aId);
  if (job == nullptr) {
    job = &Open(aRecord, aId);
  }
  job->answeredAt_ = TimeOf(aRecord);
  job->outcome_ = std::move(aOutcome);
  open_.erase({ aRecord.incarnation_, aId });
}

void
Tracer::Report(const gpTimelineRecord& aRecord, const std::string& aTask)
{
  const auto found = open_.find({ aRecord.incarnation_, JobOf(aTask) });
  if (found != open_.end()) {
    last_[found->second] = { aTask, aRecord.event_.number_.value_or(0) };
  }
}

std::vector<gpJobTrace>
Tracer::Take()
{
  for (const auto& [index, run] : last_) {
    traces_[index].lastRun_ = runs_[run];
  }
  return std::move(traces_);
}

} // namespace

std::vector<gpJobTrace>
gpTraceJobs(std::vector<gpTimelineRecord> aRecords)
{
  std::stable_sort(
    aRecords.begin(),
    aRecords.end(),
    [](const gpTimelineRecord& aLeft, const gpTimelineRecord& aRight) {
      return aLeft.time_ < aRight.time_;
    });
  Tracer tracer;
  for (const gpTimelineRecord& record : aRecords) {
    tracer.Add(record);
  }
  return tracer.Take();
}
