#include "gpJobFailure.h"

gpFailure
gpMakeFailure(gpFailureCode aCode,
              gpOutcome aOutcome,
              std::optional<gpMillis> aRetryAfter)
{
  gpFailure failure;
  failure.code_ = aCode;
  failure.outcome_ = aOutcome;
  failure.retryAfter_ = aRetryAfter;
  return failure;
}

gpFailure
gpUnconfirmed(gpFailure aFailure)
{
  if (aFailure.outcome_ == gpOutcome::NotRun) {
    aFailure.outcome_ = gpOutcome::Unknown;
    aFailure.retryAfter_ = aFailure.retryAfter_.value_or(kRetryAfter);
  }
  return aFailure;
}
