#pragma once

#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "gpCheckpointedFold.h"
#include "gpMember.h"

/** \class gpJoinRecord
 * \brief A log record that adds a guard to the roster.
 */
struct gpJoinRecord
{
  gpMember member_;
};

/** \class gpRemoveRecord
 * \brief A log record that removes guards from the roster.
 */
struct gpRemoveRecord
{
  std::vector<gpIncarnation> guards_;
};

using gpRosterChange = std::variant<gpJoinRecord, gpRemoveRecord>;
using gpRosterCheckpoint = gpCheckpoint<gpRoster>;
using gpRosterRecord = std::variant<gpRosterChange, gpRosterCheckpoint>;

/// Parses a record of the stream `roster`; returns BadRecord if it is invalid.
absl::StatusOr<gpRosterRecord>
gpParseRosterRecord(const std::string& aData);

std::string
gpRenderJoin(const gpMember& aMember);
std::string
gpRenderRemove(const std::vector<gpIncarnation>& aGuards);
/// The JSON text of a checkpoint record with the roster after the record at
/// aAsOf.
std::string
gpRenderCheckpoint(const gpRoster& aRoster, gpLogOffset aAsOf);
