#pragma once

#include <string>

#include "gpLoadPlan.h"

/// The body of POST /v1/jobs for a planned job, as docs/http-api.md has it. A
/// task's own body is {"run_ms": N}, which the stand-in target runs for N ms at
/// speed 1, with spaces at its end up to the planned size.
std::string
gpLoadRequestBody(const gpExperiment& aExperiment, const gpPlannedJob& aJob);
