#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

#include "gpError.h"

/** \class gpConfigurationError
 * \brief One validation error of a JSON text.
 */
struct gpConfigurationError
{
  /// JSON pointer (RFC 6901) to the invalid value, such as
  /// "/services/a/region"; empty for the whole text.
  std::string path_;
  /// What was expected there, such as "a list".
  std::string expected_;

  bool operator==(const gpConfigurationError&) const = default;
};

/// A status with all validation errors; its text has one line for each.
absl::Status
gpMakeErrors(gpErrorCode aCode,
             const std::vector<gpConfigurationError>& aErrors);

/// The validation errors in a status made by gpMakeErrors; empty for any other
/// status.
std::vector<gpConfigurationError>
gpErrorsOf(const absl::Status& aStatus);

/// One validation error as a line, such as
/// "/services/a/region: expected a name".
std::string
gpErrorLine(const gpConfigurationError& aError);
