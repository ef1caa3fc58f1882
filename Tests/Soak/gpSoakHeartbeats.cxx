#include "gpSoakHeartbeats.h"

#include <utility>

namespace {

gpHttpRequest
MakeRequest(const std::string& aId, const boost::json::object& aHeartbeat)
{
  gpHttpRequest request;
  request.method_ = "PUT";
  request.target_ = "/v1/instances/" + aId;
  request.body_ = boost::json::serialize(aHeartbeat);
  return request;
}

/// Adds aDifference to a field that is a number.
void
Shift(boost::json::object& aHeartbeat,
      const char* aField,
      std::int64_t aDifference)
{
  aHeartbeat[aField] =
    aHeartbeat.at(aField).to_number<std::int64_t>() + aDifference;
}

} // namespace

gpSoakHeartbeats::gpSoakHeartbeats(const std::string& aState)
{
  boost::system::error_code error;
  const boost::json::value state = boost::json::parse(aState, error);
  // The worker may have been killed before it answered, or sent a heartbeat.
  if (!error && state.is_object() &&
      !state.at("heartbeat").as_object().empty()) {
    id_ = state.at("id").as_string();
    heartbeat_ = state.at("heartbeat").as_object();
  }
}

std::vector<gpHttpRequest>
gpSoakHeartbeats::MakeForeign() const
{
  constexpr std::int64_t kLifeMs = 60000;
  std::vector<gpHttpRequest> requests;
  if (id_.empty()) {
    return requests;
  }
  boost::json::object later = heartbeat_;
  Shift(later, "born", kLifeMs);
  requests.push_back(MakeRequest(id_, later));
  requests.push_back(MakeRequest("i-foreign", later));
  boost::json::object odd = later;
  odd["slots"] = "8";
  odd.erase("address");
  requests.push_back(MakeRequest("i-odd", odd));
  boost::json::object earlier = heartbeat_;
  Shift(earlier, "born", -kLifeMs);
  requests.push_back(MakeRequest(id_, earlier));
  boost::json::object ahead = heartbeat_;
  Shift(ahead, "sequence", kLifeMs);
  requests.push_back(MakeRequest(id_, ahead));
  requests.push_back(MakeRequest(id_, heartbeat_));
  gpHttpRequest end = MakeRequest("i-foreign", {});
  end.method_ = "DELETE";
  requests.push_back(std::move(end));
  return requests;
}
