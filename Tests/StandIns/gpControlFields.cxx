#include "gpControlFields.h"

#include <boost/json/parse.hpp>

#include "gpError.h"

absl::Status
gpReadFields(const std::string& aText,
             const std::map<std::string_view, gpFieldReader>& aReaders)
{
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(aText, error);
  if (error || !value.is_object()) {
    return gpMakeError(gpErrorCode::BadRequest, "body is not a JSON object");
  }
  for (const auto& field : value.get_object()) {
    const std::string_view name(field.key().data(), field.key().size());
    const auto reader = aReaders.find(name);
    if (reader == aReaders.end() || !reader->second(field.value())) {
      return gpMakeError(gpErrorCode::BadRequest,
                         "unknown field or invalid value: " +
                           std::string(name));
    }
  }
  return absl::OkStatus();
}
