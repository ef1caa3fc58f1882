#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "gpExperiment.h"

/** \class gpOverride
 * \brief A value that takes the place of one in the experiment file.
 */
struct gpOverride
{
  /// Names of fields, joined by dots: "deployment.caller_delay_us".
  std::string path_;
  /// JSON; a text that is not JSON stands for itself as a string.
  std::string value_;
};

/// Reads an experiment file. Fields that are left out keep their defaults;
/// without targets, there are 11 of 8 slots and speed 1. Unknown fields, and
/// values out of range, are errors (BadSettings).
absl::StatusOr<gpExperiment>
gpParseExperiment(std::string_view aText,
                  const std::vector<gpOverride>& aOverrides);
