#pragma once

#include "gpIds.h"

/// Connects a blocking TCP socket to the server and returns its descriptor,
/// which the caller closes. Throws gpTestFailure.
int
gpConnectTestSocket(const gpAddress& aServer);
