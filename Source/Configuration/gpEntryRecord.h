#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpRunMessages.h"

/** \brief The record in the store that tells where an entry can be reached, as
 * JSON: `{"address":"10.0.0.1:7000","data_centre":"dc-1","milli_cores":250}`.
 */
std::string
gpRenderEntryRecord(const gpKnownEntry& aEntry);

/// Reads such a record; BadRecord if it isn't one. Further fields are ignored,
/// so that later versions may add some.
absl::StatusOr<gpKnownEntry>
gpParseEntryRecord(std::string_view aText);
