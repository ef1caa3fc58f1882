#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpLeaseSettings.h"
#include "gpMember.h"

/// Whether the text is a settings file of a process that runs best-effort jobs
/// on the users' platform: one that has a field "store". False also for a text
/// that isn't JSON.
bool
gpIsLeaseSettings(std::string_view aText);

/// Parses the settings file of an entry or a guard. If it is invalid, returns
/// BadSettings with all validation errors; the path of each is the file name,
/// '#' and a JSON pointer.
absl::StatusOr<gpLeaseSettings>
gpParseLeaseSettings(const std::string& aFileName,
                     std::string_view aText,
                     gpRole aRole);
