#include "gpLeaseJob.h"

#include <array>

namespace {

constexpr std::array kOutcomes = { "completed",
                                   "failed",
                                   "cancelled",
                                   "not_run",
                                   "no_queue" };
constexpr std::array kReasons = {
  "none",        "no_configuration",  "no_target",       "too_large",
  "overloaded",  "too_many_tasks",    "queue_contained", "shutting_down",
  "duplicate",   "task_failed",       "task_crashes",    "task_suspected",
  "target_lost", "deadline_exceeded", "caller_gone",
};

} // namespace

std::size_t
gpLeaseJob::CountTasks() const
{
  std::size_t tasks = 0;
  for (const gpJobStep& step : steps_) {
    tasks += step.count_;
  }
  return tasks;
}

std::string
gpJobOfTask(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

std::string
gpLeaseOutcomeName(gpLeaseOutcome aOutcome)
{
  return kOutcomes.at(static_cast<std::size_t>(aOutcome));
}

std::string
gpLeaseReasonName(gpLeaseReason aReason)
{
  return kReasons.at(static_cast<std::size_t>(aReason));
}
