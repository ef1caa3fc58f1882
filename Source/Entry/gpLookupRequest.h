#pragma once

#include <optional>
#include <string>

#include "gpIds.h"
#include "gpTime.h"

/** \class gpLookupRequest
 * \brief The parameters of GET /v1/jobs/{service}/{key}?wait_ms=N, by which a
 * caller queries the answer of a job.
 */
struct gpLookupRequest
{
  gpServiceKey key_;
  /// Longest wait for the answer.
  gpMillis wait_{ 10000 };
};

/// Parses the request target of an HTTP request; not set if it has another
/// form.
std::optional<gpLookupRequest>
gpParseLookupRequest(const std::string& aTarget);
