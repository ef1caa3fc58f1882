#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "gpLoadOptions.h"
#include "gpLoadResult.h"

/// `run`: sends the jobs, prints the progress each second and a summary at the
/// end. Writes the result file if one is set (BadSettings, Io).
absl::StatusOr<gpLoadResult>
gpRunLoad(const gpRunOptions& aOptions);

/// `plan`: prints the size of the plan and the bounds of its response times
/// (BadSettings, Io).
absl::Status
gpPrintPlan(const gpPlanOptions& aOptions);

/// `report`: writes the files of the report (BadSettings, Io).
absl::Status
gpWriteReport(const gpReportOptions& aOptions);
