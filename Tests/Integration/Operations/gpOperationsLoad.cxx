#include "gpOperationsLoad.h"

#include <chrono>
#include <thread>
#include <utility>

#include "gpOperationsCluster.h"

gpOperationsLoad::gpOperationsLoad(gpTestCluster& aCluster,
                                   std::size_t aEntry,
                                   std::size_t aJobs,
                                   gpMillis aRunTime)
  : cluster_(aCluster)
  , entry_(aEntry)
  , runTime_(aRunTime)
{
  while (submitted_.size() < aJobs) {
    submitted_.push_back(SubmitNext());
  }
}

void
gpOperationsLoad::RunUntil(const std::string& aWhat,
                           const std::function<bool()>& aCondition)
{
  gpWaitUntil(aWhat, [&] {
    Step();
    return aCondition();
  });
}

void
gpOperationsLoad::RunFor(gpMillis aTime)
{
  const auto end = std::chrono::steady_clock::now() + aTime;
  RunUntil("a time passes",
           [end] { return std::chrono::steady_clock::now() >= end; });
}

void
gpOperationsLoad::Finish()
{
  for (Submitted& submitted : submitted_) {
    CheckAnswer(submitted);
  }
  submitted_.clear();
}

gpOperationsLoad::Submitted
gpOperationsLoad::SubmitNext()
{
  const std::string name = "load-" + std::to_string(count_);
  gpTestJob job = gpMakeNamedJob(name, 1, runTime_);
  if (count_ % 2 == 0) {
    job.key_ = name;
    job.tasks_[0].idempotent_ = false;
  }
  ++count_;
  return { name, cluster_.Submit(entry_, job) };
}

void
gpOperationsLoad::CheckAnswer(Submitted& aSubmitted)
{
  const gpTestAnswer answer = gpReadAnswer(aSubmitted.call_.reply_.get());
  if (gpIsComplete(answer, aSubmitted.name_, 1)) {
    ++complete_;
  } else {
    incorrect_.push_back(aSubmitted.name_ + ": " +
                         std::to_string(answer.status_) + " " +
                         answer.outcome_ + " " + answer.code_);
  }
}

void
gpOperationsLoad::Step()
{
  for (Submitted& submitted : submitted_) {
    const auto state = submitted.call_.reply_.wait_for(std::chrono::seconds(0));
    if (state == std::future_status::ready) {
      CheckAnswer(submitted);
      submitted = SubmitNext();
    }
  }
}
