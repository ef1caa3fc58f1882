#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "gpLoadOptions.h"
#include "gpLoadResult.h"

/// `run`: sends the jobs, and prints a line each second and a summary. Writes
/// the result file if there is one (BadSettings, Io).
absl::StatusOr<gpLoadResult>
gpRunLoad(const gpRunOptions& aOptions);

/// `plan`: prints what would be sent and what's possible (BadSettings, Io).
absl::Status
gpPrintPlan(const gpPlanOptions& aOptions);

/// `report`: writes the report's files (BadSettings, Io).
absl::Status
gpWriteReport(const gpReportOptions& aOptions);
