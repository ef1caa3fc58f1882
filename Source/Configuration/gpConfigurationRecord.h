#pragma once

#include <string>
#include <variant>

#include <absl/status/statusor.h>

#include "gpCheckpointedFold.h"
#include "gpConfiguration.h"

/** \class gpApplyRecord
 * \brief A log record that requests to put a configuration in force.
 */
struct gpApplyRecord
{
  gpConfigVersion version_;
  /// The version that the file was derived from. The apply is accepted only if
  /// this version is in force at the record's position in the log.
  gpConfigVersion base_;
  gpApplyId applyId_;
  /// The configuration, or BadConfiguration with its validation errors.
  absl::StatusOr<gpConfiguration> file_;
};

using gpConfigurationCheckpoint = gpCheckpoint<gpVersionedConfiguration>;
using gpConfigurationRecord =
  std::variant<gpApplyRecord, gpConfigurationCheckpoint>;

/// Parses a record of the stream `configuration`. Returns BadRecord if the
/// record is malformed, or if it is a checkpoint with an invalid configuration.
/// An apply with an invalid configuration is a record whose file_ holds the
/// errors.
absl::StatusOr<gpConfigurationRecord>
gpParseConfigurationRecord(const std::string& aData);

/// The JSON text of an apply record; its version is one more than the base.
std::string
gpRenderApply(gpConfigVersion aBase,
              const gpApplyId& aApplyId,
              const gpConfiguration& aFile);

/// The JSON text of a checkpoint record with the state after the record at
/// aAsOf.
std::string
gpRenderCheckpoint(const gpVersionedConfiguration& aState, gpLogOffset aAsOf);
