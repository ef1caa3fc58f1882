#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

/// Takes the value of a field; false if it's not of the right kind.
using gpFieldReader = std::function<bool(const boost::json::value&)>;

/// A reader that stores the value in aTarget.
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

/// Reads a JSON object field by field. BadRequest if the text is no object, a
/// field isn't known or a reader refuses its value.
absl::Status
gpReadFields(const std::string& aText,
             const std::map<std::string_view, gpFieldReader>& aReaders);
