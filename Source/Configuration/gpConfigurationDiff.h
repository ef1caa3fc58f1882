#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gpConfiguration.h"

/** \class gpConfigurationDifference
 * \brief One field whose values differ between two configurations.
 */
struct gpConfigurationDifference
{
  /// JSON pointer to the field. For an element of a list, the pointer to the
  /// list, followed by the element as JSON in brackets.
  std::string path_;
  /// The values as JSON text; nullopt in the configuration that doesn't have
  /// the field.
  std::optional<std::string> before_;
  std::optional<std::string> after_;

  bool operator==(const gpConfigurationDifference&) const = default;
};

/// The fields that differ, sorted by path. The lists of a configuration
/// (services of a team, drains) are sets, so their elements are compared by
/// value and not by position.
std::vector<gpConfigurationDifference>
gpDiffConfigurations(const gpConfiguration& aBefore,
                     const gpConfiguration& aAfter);
