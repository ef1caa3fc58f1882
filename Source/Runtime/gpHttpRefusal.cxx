#include "gpHttpRefusal.h"

#include <array>
#include <cstddef>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "gpTime.h"

namespace {

/// Delay that callers over a limit of all connections are asked to wait.
constexpr gpMillis kRetryAfter{ 1000 };
constexpr int kUnavailable = 503;

struct RefusalEntry
{
  int status_;
  const char* title_;
  const char* code_;
};

/// Indexed by gpHttpRefusal.
constexpr std::array kRefusals = {
  RefusalEntry{ 400, "malformed request", "bad_request" },
  RefusalEntry{ 408, "request timeout", "bad_request" },
  RefusalEntry{ 413, "body too large", "request_too_large" },
  RefusalEntry{ 431, "header too large", "request_too_large" },
  RefusalEntry{ kUnavailable, "too many connections", "queue_full" },
  RefusalEntry{ kUnavailable, "too many requests at a time", "queue_full" },
};

} // namespace

gpHttpResponse
gpRefuseRequest(gpHttpRefusal aRefusal)
{
  const RefusalEntry& entry = kRefusals.at(static_cast<std::size_t>(aRefusal));
  boost::json::object problem = {
    { "type", "about:blank" },   { "title", entry.title_ },
    { "status", entry.status_ }, { "code", entry.code_ },
    { "outcome", "not_run" },    { "may_have_run", boost::json::array() },
  };
  gpHttpResponse response;
  response.status_ = entry.status_;
  response.contentType_ = "application/problem+json";
  if (entry.status_ == kUnavailable) {
    problem["retry_after_ms"] = kRetryAfter.count();
    response.headers_["retry-after"] = std::to_string(
      std::chrono::ceil<std::chrono::seconds>(kRetryAfter).count());
  }
  response.body_ = boost::json::serialize(problem);
  return response;
}
