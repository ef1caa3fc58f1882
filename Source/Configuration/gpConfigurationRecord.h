#pragma once

#include <string>
#include <variant>

#include <absl/status/statusor.h>

#include "gpCheckpointedFold.h"
#include "gpConfiguration.h"

/** \class gpApplyRecord
 * \brief A record that asks for a configuration to be put in force.
 */
struct gpApplyRecord
{
  gpConfigVersion version_;
  /// The version that the file was made from.
  gpConfigVersion base_;
  gpApplyId applyId_;
  /// The file, or its faults (BadConfiguration).
  absl::StatusOr<gpConfiguration> file_;
};

using gpConfigurationCheckpoint = gpCheckpoint<gpVersionedConfiguration>;
using gpConfigurationRecord =
  std::variant<gpApplyRecord, gpConfigurationCheckpoint>;

/// Parses a record of the stream `configuration`. A record that can't be read,
/// or a checkpoint whose file has faults, gives BadRecord.
absl::StatusOr<gpConfigurationRecord>
gpParseConfigurationRecord(const std::string& aData);

/// An apply record; its version is one more than the base.
std::string
gpRenderApply(gpConfigVersion aBase,
              const gpApplyId& aApplyId,
              const gpConfiguration& aFile);

/// A checkpoint of the state after the record at aAsOf.
std::string
gpRenderCheckpoint(const gpVersionedConfiguration& aState, gpLogOffset aAsOf);
