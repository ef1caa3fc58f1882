#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

#include "gpError.h"

/** \class gpConfigurationError
 * \brief One fault of a JSON text.
 */
struct gpConfigurationError
{
  /// JSON pointer (RFC 6901) to the place, such as "/services/a/region";
  /// empty for the whole text.
  std::string path_;
  /// What was expected there.
  std::string expected_;

  bool operator==(const gpConfigurationError&) const = default;
};

/// A status that holds all faults; its text has one line for each of them.
absl::Status
gpMakeErrors(gpErrorCode aCode,
             const std::vector<gpConfigurationError>& aErrors);

/// The faults that a status of gpMakeErrors holds; empty for any other.
std::vector<gpConfigurationError>
gpErrorsOf(const absl::Status& aStatus);

/// One fault as a line, such as "/services/a/region: expected a name".
std::string
gpErrorLine(const gpConfigurationError& aError);
