#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gpConfiguration.h"

/** \class gpConfigurationDifference
 * \brief One field in which two configurations differ.
 */
struct gpConfigurationDifference
{
  /// JSON pointer to the field.
  std::string path_;
  /// The values as JSON; not set where the field isn't there.
  std::optional<std::string> before_;
  std::optional<std::string> after_;

  bool operator==(const gpConfigurationDifference&) const = default;
};

/// The fields that differ, by path. Elements of lists that are sets (services
/// of a team, drains) are compared by value.
std::vector<gpConfigurationDifference>
gpDiffConfigurations(const gpConfiguration& aBefore,
                     const gpConfiguration& aAfter);
