#include "gpLoadRequest.h"

#include <boost/json.hpp>

namespace {

std::string
TaskBody(const gpPlannedTask& aTask)
{
  std::string body =
    "{\"run_ms\": " + std::to_string(aTask.runTime_.count()) + "}";
  if (body.size() < aTask.bodyBytes_) {
    body.resize(aTask.bodyBytes_, ' ');
  }
  return body;
}

boost::json::object
TaskOf(const gpExperiment& aExperiment,
       const gpPlannedJob& aJob,
       const gpPlannedTask& aTask)
{
  boost::json::object task;
  task["path"] = aExperiment.path_;
  task["body"] = TaskBody(aTask);
  task["idempotent"] = aJob.idempotent_;
  if (aTask.declaredSize_.has_value()) {
    task["declared_size"] = *aTask.declaredSize_;
  }
  if (aTask.declaredRunTime_.has_value()) {
    task["declared_run_ms"] = aTask.declaredRunTime_->count();
  }
  return task;
}

} // namespace

std::string
gpLoadRequestBody(const gpExperiment& aExperiment, const gpPlannedJob& aJob)
{
  boost::json::array tasks;
  tasks.reserve(aJob.tasks_.size());
  for (const gpPlannedTask& task : aJob.tasks_) {
    tasks.emplace_back(TaskOf(aExperiment, aJob, task));
  }
  boost::json::object body;
  body["service"] = aExperiment.service_.value_;
  body["team"] = aExperiment.teams_.at(aJob.team_).name_.value_;
  body["deadline_ms"] = aExperiment.ScaledDeadline().count();
  body["tasks"] = std::move(tasks);
  return boost::json::serialize(body);
}
