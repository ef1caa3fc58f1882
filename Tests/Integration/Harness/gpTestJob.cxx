#include "gpTestJob.h"

#include <boost/json.hpp>

namespace {

std::string
TextOf(const boost::json::object& aObject, const char* aName)
{
  const boost::json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : std::string();
}

const boost::json::array&
ArrayOf(const boost::json::object& aObject, const char* aName)
{
  static const boost::json::array kNone;
  const boost::json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_array() ? value->get_array() : kNone;
}

} // namespace

gpTestTask
gpMakeTestTask(gpMillis aRunTime, const std::string& aAnswer)
{
  boost::json::object body{ { "run_ms", aRunTime.count() } };
  if (!aAnswer.empty()) {
    body["answer"] = aAnswer;
  }
  gpTestTask task;
  task.body_ = boost::json::serialize(body);
  return task;
}

gpHttpRequest
gpJobRequest(const gpTestJob& aJob)
{
  boost::json::array tasks;
  for (const gpTestTask& task : aJob.tasks_) {
    tasks.push_back(boost::json::object{ { "path", task.path_ },
                                         { "body", task.body_ },
                                         { "idempotent", task.idempotent_ } });
  }
  gpHttpRequest request;
  request.method_ = "POST";
  request.target_ = "/v1/jobs";
  request.headers_["content-type"] = "application/json";
  if (!aJob.key_.empty()) {
    request.headers_["idempotency-key"] = aJob.key_;
  }
  request.body_ = boost::json::serialize(
    boost::json::object{ { "service", aJob.service_ },
                         { "team", aJob.team_ },
                         { "deadline_ms", aJob.deadline_.count() },
                         { "tasks", std::move(tasks) } });
  return request;
}

gpTestAnswer
gpReadAnswer(const gpHttpReply& aReply)
{
  gpTestAnswer answer;
  if (!aReply.response_.ok()) {
    return answer;
  }
  answer.status_ = aReply.response_->status_;
  boost::system::error_code error;
  const boost::json::value value =
    boost::json::parse(aReply.response_->body_, error);
  if (error || !value.is_object()) {
    return answer;
  }
  const boost::json::object& object = value.get_object();
  answer.outcome_ = TextOf(object, "outcome");
  answer.code_ = TextOf(object, "code");
  for (const boost::json::value& result : ArrayOf(object, "results")) {
    answer.results_.push_back(TextOf(result.as_object(), "body"));
  }
  for (const boost::json::value& task : ArrayOf(object, "may_have_run")) {
    answer.mayHaveRun_.push_back(task.to_number<std::uint32_t>());
  }
  if (const auto* retry = object.if_contains("retry_after_ms")) {
    answer.retryAfterMs_ = retry->to_number<std::uint32_t>();
  }
  return answer;
}
