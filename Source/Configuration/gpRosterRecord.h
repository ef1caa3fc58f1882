#pragma once

#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "gpCheckpointedFold.h"
#include "gpMember.h"

/** \class gpJoinRecord
 * \brief A guard becomes a member.
 */
struct gpJoinRecord
{
  gpMember member_;
};

/** \class gpRemoveRecord
 * \brief Guards are no longer members.
 */
struct gpRemoveRecord
{
  std::vector<gpIncarnation> guards_;
};

using gpRosterChange = std::variant<gpJoinRecord, gpRemoveRecord>;
using gpRosterCheckpoint = gpCheckpoint<gpRoster>;
using gpRosterRecord = std::variant<gpRosterChange, gpRosterCheckpoint>;

/// Parses a record of the stream `roster`; the error is BadRecord.
absl::StatusOr<gpRosterRecord>
gpParseRosterRecord(const std::string& aData);

std::string
gpRenderJoin(const gpMember& aMember);
std::string
gpRenderRemove(const std::vector<gpIncarnation>& aGuards);
/// A checkpoint of the state after the record at aAsOf.
std::string
gpRenderCheckpoint(const gpRoster& aRoster, gpLogOffset aAsOf);
