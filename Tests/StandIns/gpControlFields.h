#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

/// Stores the value of a field. Returns false if the value is not valid.
using gpFieldReader = std::function<bool(const boost::json::value&)>;

/// Returns a reader that converts the value to T and stores it in aTarget.
template<typename T>
gpFieldReader
gpReadInto(T& aTarget)
{
  return [&aTarget](const boost::json::value& aValue) {
    const auto result = boost::json::try_value_to<T>(aValue);
    if (result.has_value()) {
      aTarget = *result;
    }
    return result.has_value();
  };
}

/// Parses a JSON object and passes each field to its reader. Returns BadRequest
/// if the text is not a JSON object, a field has no reader, or a reader rejects
/// the value.
absl::Status
gpReadFields(const std::string& aText,
             const std::map<std::string_view, gpFieldReader>& aReaders);
