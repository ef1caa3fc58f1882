#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpConfiguration.h"
#include "gpConfigurationError.h"

/// Parses and checks a configuration file; see docs/configuration.md. The
/// status is BadConfiguration and holds all faults (gpErrorsOf).
absl::StatusOr<gpConfiguration>
gpParseConfiguration(std::string_view aText);

/// The canonical text: one line, all fields, names in order. Two files with
/// the same meaning have the same canonical text.
std::string
gpRenderConfiguration(const gpConfiguration& aConfiguration);

/// A JSON text with one field a line, for people.
std::string
gpIndentJson(std::string_view aText);
