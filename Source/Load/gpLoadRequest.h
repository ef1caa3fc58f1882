#pragma once

#include <string>

#include "gpLoadPlan.h"

/// The body of POST /v1/jobs for a planned job; see docs/http-api.md. The body
/// of a task is {"run_ms": N}, for which the stand-in target runs N ms at speed
/// 1, padded with spaces to the planned size.
std::string
gpLoadRequestBody(const gpExperiment& aExperiment, const gpPlannedJob& aJob);
