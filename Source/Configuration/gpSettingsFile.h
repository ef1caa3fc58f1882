#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpProcessSettings.h"

/// Parses the settings of an entry; see docs/settings.md. If they are invalid,
/// returns BadSettings with all validation errors; the path of each is the file
/// name, '#' and a JSON pointer.
absl::StatusOr<gpEntrySettings>
gpParseEntrySettings(const std::string& aFileName, std::string_view aText);

/// Parses the settings of a guard; errors are as in gpParseEntrySettings.
absl::StatusOr<gpGuardSettings>
gpParseGuardSettings(const std::string& aFileName, std::string_view aText);
