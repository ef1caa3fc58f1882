#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpLoadResult.h"

/// The result as JSON; docs/commands/gypsumpoint-load.md describes the fields.
std::string
gpFormatLoadResult(const gpLoadResult& aResult);

/// Parses the output of gpFormatLoadResult (BadSettings).
absl::StatusOr<gpLoadResult>
gpParseLoadResult(std::string_view aText);
