#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "gpExperiment.h"

/** \class gpOverride
 * \brief A value that overrides one of the experiment file.
 */
struct gpOverride
{
  /// Field names joined by dots, such as "deployment.caller_delay_us".
  std::string path_;
  /// JSON; a text that is not valid JSON is used as a string.
  std::string value_;
};

/// Parses an experiment file and applies the overrides. Missing fields keep
/// their defaults; without targets, the deployment has 11 targets with 8 slots
/// and speed 1. Unknown fields and values out of range are errors
/// (BadSettings).
absl::StatusOr<gpExperiment>
gpParseExperiment(std::string_view aText,
                  const std::vector<gpOverride>& aOverrides);
