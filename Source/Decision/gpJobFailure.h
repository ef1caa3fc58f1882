#pragma once

#include <optional>

#include "gpAnswer.h"
#include "gpTime.h"

/// When to come back for an answer that isn't settled yet.
constexpr gpMillis kAskAgain{ 500 };

/// A failure without tasks that may have run.
gpFailure
gpMakeFailure(gpFailureCode aCode,
              gpOutcome aOutcome,
              std::optional<gpMillis> aRetryAfter = std::nullopt);

/// The failure when the holders could not confirm 'not run'. A final failure
/// stays one.
gpFailure
gpUnconfirmed(gpFailure aFailure);
