#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpRunMessages.h"

/** \brief The JSON text of the record with which an entry registers its link
 * address in the store, such as
 * `{"address":"10.0.0.1:7000","data_centre":"dc-1","milli_cores":250}`.
 */
std::string
gpRenderEntryRecord(const gpKnownEntry& aEntry);

/// Parses such a record; returns BadRecord if it is invalid. Unknown fields are
/// ignored, so that later versions of the software can add fields.
absl::StatusOr<gpKnownEntry>
gpParseEntryRecord(std::string_view aText);
