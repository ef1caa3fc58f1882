#include "gpExplanation.h"

#include <utility>

namespace {

/** \class PhaseSamples
 * \brief The times of each phase, of which gpPhaseTimes has the percentiles.
 */
struct PhaseSamples
{
  std::vector<gpMicros> waiting_;
  std::vector<gpMicros> order_;
  std::vector<gpMicros> run_;
  std::vector<gpMicros> answer_;
  std::vector<gpMicros> total_;
};

void
AddSpan(std::optional<gpTime> aFrom,
        std::optional<gpTime> aTo,
        std::vector<gpMicros>& aOut)
{
  if (aFrom.has_value() && aTo.has_value()) {
    aOut.push_back(*aTo - *aFrom);
  }
}

void
AddTimes(const gpJobTrace& aJob, PhaseSamples& aOut)
{
  const gpRunTrace& run = aJob.lastRun_;
  AddSpan(aJob.arrivedAt_, run.sentAt_, aOut.waiting_);
  AddSpan(run.sentAt_, run.startedAt_, aOut.order_);
  AddSpan(run.startedAt_, run.endedAt_, aOut.run_);
  AddSpan(run.endedAt_, aJob.answeredAt_, aOut.answer_);
  AddSpan(aJob.arrivedAt_, aJob.answeredAt_, aOut.total_);
}

gpPhaseTimes
TimesOf(PhaseSamples aSamples)
{
  return { gpPercentilesOf(std::move(aSamples.waiting_)),
           gpPercentilesOf(std::move(aSamples.order_)),
           gpPercentilesOf(std::move(aSamples.run_)),
           gpPercentilesOf(std::move(aSamples.answer_)),
           gpPercentilesOf(std::move(aSamples.total_)) };
}

void
AddJob(const gpJobTrace& aJob, std::size_t aSecond, gpQueueExplanation& aOut)
{
  aOut.counts_.Add(aJob);
  aOut.bySecond_[aSecond].Add(aJob);
  if (!aJob.waitedFor_.empty()) {
    ++aOut.waitedFor_[aJob.waitedFor_];
  }
  aOut.stragglers_ += aJob.stragglers_;
  if (aJob.stragglers_ > 0 && aJob.IsCompleted() && !aJob.IsLate()) {
    ++aOut.savedByStraggler_;
  }
}

} // namespace

void
gpJobCounts::Add(const gpJobTrace& aJob)
{
  ++submitted_;
  admitted_ += aJob.isAdmitted_ ? 1 : 0;
  if (!aJob.IsCompleted()) {
    ++notCompleted_[aJob.outcome_];
  } else if (aJob.IsLate()) {
    ++late_;
  } else {
    ++inTime_;
  }
}

std::size_t
gpJobCounts::CountOutcome(const std::string& aOutcome) const
{
  std::size_t count = 0;
  for (const auto& [outcome, jobs] : notCompleted_) {
    count += outcome.starts_with(aOutcome + " ") ? jobs : 0;
  }
  return count;
}

gpExplanation
gpExplain(const std::vector<gpJobTrace>& aJobs)
{
  gpExplanation explanation;
  std::map<std::string, PhaseSamples> samples;
  for (const gpJobTrace& job : aJobs) {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
      job.arrivedAt_ - aJobs.front().arrivedAt_);
    AddJob(
      job, static_cast<std::size_t>(second.count()), explanation[job.queue_]);
    if (job.IsCompleted()) {
      AddTimes(job, samples[job.queue_]);
    }
  }
  for (auto& [name, queue] : explanation) {
    queue.times_ = TimesOf(std::move(samples[name]));
  }
  return explanation;
}
