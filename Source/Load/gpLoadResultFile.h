#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpLoadResult.h"

/// The result as JSON; docs/commands/gypsumpoint-load.md names the fields.
std::string
gpFormatLoadResult(const gpLoadResult& aResult);

/// Reads what gpFormatLoadResult wrote (BadSettings if it can't be read).
absl::StatusOr<gpLoadResult>
gpParseLoadResult(std::string_view aText);
