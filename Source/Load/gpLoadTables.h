#pragma once

#include <string>
#include <vector>

#include "gpLoadResult.h"

/// Results that are compared with each other.
using gpLoadResults = std::vector<const gpLoadResult*>;

/** \brief Markdown tables over the results of several runs.
 */

/// How the jobs ended, goodput and the time to a refusal.
std::string
gpAnswerTable(const gpLoadResults& aResults);
/// Response times of all jobs against bounds and references.
std::string
gpResponseTable(const gpLoadResults& aResults);
/// Teams and classes of job sizes.
std::string
gpGroupTable(const gpLoadResults& aResults);
/// The reference schedules.
std::string
gpReferenceTable(const gpLoadResults& aResults);
/// Messages by kind.
std::string
gpMessageTable(const gpLoadResults& aResults);
/// Codes of failures and faults of answers; empty if there are none.
std::string
gpCodeTable(const gpLoadResults& aResults);
