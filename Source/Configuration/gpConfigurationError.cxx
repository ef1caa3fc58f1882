#include "gpConfigurationError.h"

#include <absl/strings/cord.h>
#include <boost/json.hpp>

namespace {

constexpr const char* kPayloadUrl = "gypsumpoint/configuration-errors";

std::string
ToPayload(const std::vector<gpConfigurationError>& aErrors)
{
  boost::json::array list;
  for (const gpConfigurationError& error : aErrors) {
    list.push_back(boost::json::array{ error.path_, error.expected_ });
  }
  return boost::json::serialize(list);
}

} // namespace

absl::Status
gpMakeErrors(gpErrorCode aCode,
             const std::vector<gpConfigurationError>& aErrors)
{
  std::string text;
  for (const gpConfigurationError& error : aErrors) {
    text += text.empty() ? "" : "\n";
    text += gpErrorLine(error);
  }
  absl::Status status = gpMakeError(aCode, text);
  status.SetPayload(kPayloadUrl, absl::Cord(ToPayload(aErrors)));
  return status;
}

std::vector<gpConfigurationError>
gpErrorsOf(const absl::Status& aStatus)
{
  std::vector<gpConfigurationError> errors;
  const auto payload = aStatus.GetPayload(kPayloadUrl);
  if (!payload.has_value()) {
    return errors;
  }
  const auto list = boost::json::parse(std::string(*payload));
  for (const boost::json::value& error : list.as_array()) {
    errors.push_back({ std::string(error.at(0).as_string()),
                       std::string(error.at(1).as_string()) });
  }
  return errors;
}

std::string
gpErrorLine(const gpConfigurationError& aError)
{
  const std::string place =
    aError.path_.empty() ? "the whole text" : aError.path_;
  return place + ": expected " + aError.expected_;
}
