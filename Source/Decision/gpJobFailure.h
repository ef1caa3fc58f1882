#pragma once

#include <optional>

#include "gpAnswer.h"
#include "gpTime.h"

/// Retry-after time of an answer that may change, for example because a replica
/// was unreachable.
constexpr gpMillis kRetryAfter{ 500 };

/// A failure without a list of tasks that may have run.
gpFailure
gpMakeFailure(gpFailureCode aCode,
              gpOutcome aOutcome,
              std::optional<gpMillis> aRetryAfter = std::nullopt);

/// The failure to answer if no quorum of replicas has confirmed the claim. 'Not
/// run' becomes 'unknown', because another entry may have run the job; any
/// other outcome stays.
gpFailure
gpUnconfirmed(gpFailure aFailure);
