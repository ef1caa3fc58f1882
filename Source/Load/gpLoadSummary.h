#pragma once

#include <string>

#include "gpLoadPlan.h"
#include "gpLoadResult.h"

/// A readable summary of a run's result.
std::string
gpLoadSummaryText(const gpLoadResult& aResult);

/// The size of a plan, the bounds of its response times, and the response times
/// of list schedules without overhead, if every job is accepted.
std::string
gpPlanSummaryText(const gpLoadPlan& aPlan);
