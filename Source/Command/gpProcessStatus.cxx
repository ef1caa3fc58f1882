#include "gpProcessStatus.h"

#include <boost/json.hpp>

#include "gpError.h"

namespace {

namespace json = boost::json;

gpProcessStatus
Read(const json::value& aStatus)
{
  gpProcessStatus status;
  status.process_ = aStatus.at("process").as_string();
  status.role_ = aStatus.at("role").as_string();
  status.version_ = gpConfigVersion(
    aStatus.at("configuration_version").to_number<std::uint64_t>());
  status.applyId_ = gpApplyId(std::string(aStatus.at("apply_id").as_string()));
  status.rosterEpoch_ = aStatus.at("roster_epoch").to_number<std::uint64_t>();
  status.logAvailable_ = aStatus.at("log_available").as_bool();
  return status;
}

} // namespace

absl::StatusOr<gpProcessStatus>
gpParseProcessStatus(const std::string& aBody)
{
  try {
    return Read(json::parse(aBody));
  } catch (const std::exception& error) {
    return gpMakeError(gpErrorCode::HttpFailure,
                       std::string("not the status of a process: ") +
                         error.what());
  }
}
