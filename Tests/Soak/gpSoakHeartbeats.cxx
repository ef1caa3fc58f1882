#include "gpSoakHeartbeats.h"

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

gpHttpRequest
MakeEnd(const std::string& aId)
{
  gpHttpRequest request = MakeRequest(aId, {});
  request.method_ = "DELETE";
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

std::optional<gpHttpRequest>
gpSoakHeartbeats::MakeForeign(std::size_t aKind) const
{
  constexpr std::size_t kKinds = 8;
  constexpr std::int64_t kLifeMs = 60000;
  if (id_.empty()) {
    return std::nullopt;
  }
  boost::json::object foreign = heartbeat_;
  switch (aKind % kKinds) {
    case 0: // of a later incarnation
      Shift(foreign, "born", kLifeMs);
      return MakeRequest(id_, foreign);
    case 1: // of a worker that doesn't exist
      Shift(foreign, "born", kLifeMs);
      return MakeRequest("i-foreign", foreign);
    case 2: // the same, with a field of another type, and one missing
      Shift(foreign, "born", kLifeMs);
      foreign["slots"] = "8";
      foreign.erase("address");
      return MakeRequest("i-foreign", foreign);
    case 3: // of an earlier incarnation
      Shift(foreign, "born", -kLifeMs);
      return MakeRequest(id_, foreign);
    case 4: // with a number that is ahead
      Shift(foreign, "sequence", kLifeMs);
      return MakeRequest(id_, foreign);
    case 5: // repeated
      return MakeRequest(id_, foreign);
    case 6:
      return MakeEnd("i-foreign");
    default:
      return MakeEnd(id_);
  }
}
