#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpLeaseSettings.h"
#include "gpMember.h"

/// Whether the text is a settings file for best-effort jobs on the platform: it
/// has a field "store". False also for a text that is no JSON.
bool
gpIsLeaseSettings(std::string_view aText);

/// Reads the settings file of an entry or a guard; BadSettings lists all faults
/// with the file's name, their place and what was expected.
absl::StatusOr<gpLeaseSettings>
gpParseLeaseSettings(const std::string& aFileName,
                     std::string_view aText,
                     gpRole aRole);
