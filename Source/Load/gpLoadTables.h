#pragma once

#include <string>
#include <vector>

#include "gpLoadResult.h"

/// The results that a report compares.
using gpLoadResults = std::vector<const gpLoadResult*>;

/** \brief Markdown tables that compare the results of several runs.
 */

/// Outcomes of the jobs, goodput and latency of refusals.
std::string
gpAnswerTable(const gpLoadResults& aResults);
/// Response times of all jobs, compared with bounds and references.
std::string
gpResponseTable(const gpLoadResults& aResults);
/// Response times by team and by class of job sizes.
std::string
gpGroupTable(const gpLoadResults& aResults);
/// Response times of the reference schedules.
std::string
gpReferenceTable(const gpLoadResults& aResults);
/// Messages sent and needed, by kind.
std::string
gpMessageTable(const gpLoadResults& aResults);
/// Codes of failures and faults of answers; empty without any.
std::string
gpCodeTable(const gpLoadResults& aResults);
