#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpTargetAnnouncement.h"

/** \brief The JSON text of the record in which a guard stores what it knows of
 * its target, such as `{"id":"t-1","start_time":1766000000000,"sequence":4,
 * "service":"pond-order","draining":false,"milli_cores":64000,
 * "memory_mb":262144,"accelerators":0,"labels":["a"],
 * "capacity_enforced":true}`. The start time is in ms since 1970.
 */
std::string
gpRenderTargetRecord(const gpTargetRecord& aRecord);

/// Parses such a record; returns BadRecord if it is invalid. Unknown fields are
/// ignored, so that later versions of the software can add fields.
absl::StatusOr<gpTargetRecord>
gpParseTargetRecord(std::string_view aText);
