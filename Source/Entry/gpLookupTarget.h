#pragma once

#include <optional>
#include <string>

#include "gpIds.h"
#include "gpTime.h"

/** \class gpLookupTarget
 * \brief The parts of GET /v1/jobs/{service}/{key}?wait_ms=N.
 */
struct gpLookupTarget
{
  gpServiceKey key_;
  gpMillis wait_{ 10000 };
};

/// Parses a request target; not set if it's of another form.
std::optional<gpLookupTarget>
gpParseLookupTarget(const std::string& aTarget);
