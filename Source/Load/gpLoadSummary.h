#pragma once

#include <string>

#include "gpLoadPlan.h"
#include "gpLoadResult.h"

/// A run's result in a few lines for people.
std::string
gpLoadSummaryText(const gpLoadResult& aResult);

/// What a plan holds, the bounds of its response times, and what list schedules
/// without overhead reach, if every job is accepted.
std::string
gpPlanSummaryText(const gpLoadPlan& aPlan);
