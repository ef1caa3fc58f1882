#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpProcessSettings.h"

/// Parses the settings of an entry; see docs/settings.md. The status is
/// BadSettings and names the file and all faults.
absl::StatusOr<gpEntrySettings>
gpParseEntrySettings(const std::string& aFileName, std::string_view aText);

/// Parses the settings of a guard, as gpParseEntrySettings.
absl::StatusOr<gpGuardSettings>
gpParseGuardSettings(const std::string& aFileName, std::string_view aText);
