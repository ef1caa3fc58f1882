#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpConfiguration.h"
#include "gpConfigurationError.h"

/// Parses and checks a configuration file; see docs/configuration.md. If the
/// file is invalid, returns BadConfiguration with all validation errors (see
/// gpErrorsOf).
absl::StatusOr<gpConfiguration>
gpParseConfiguration(std::string_view aText);

/// The canonical text of a configuration: one line with all fields, including
/// those that have defaults, and names sorted. Configurations that are equal
/// have the same canonical text.
std::string
gpRenderConfiguration(const gpConfiguration& aConfiguration);

/// Formats a JSON text with one field or element per line and with indentation.
/// Returns an empty string if the text isn't JSON.
std::string
gpIndentJson(std::string_view aText);
