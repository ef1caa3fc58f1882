#pragma once

#include "gpClientLimits.h"
#include "gpHttpServer.h"
#include "gpLinkService.h"

/// The limits of the port for callers, or for the target. The connections are
/// at most half of the descriptors that the process may have.
gpHttpLimits
gpMakeClientPortLimits(const gpClientLimits& aLimits);

/// The limits of a port that serves only status and metrics.
gpHttpLimits
gpMakeStatusPortLimits(const gpClientLimits& aLimits);

/// Sets the limits of the links.
void
gpSetLinkLimits(const gpClientLimits& aLimits, gpLinkSettings& aSettings);

/// The names of the limits in logs and metrics, such as "connections".
const char*
gpLimitName(gpHttpLimitKind aLimit);
const char*
gpLimitName(gpLinkLimitKind aLimit);
