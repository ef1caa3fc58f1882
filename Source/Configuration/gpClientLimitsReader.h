#pragma once

#include "gpClientLimits.h"

class gpJsonObject;

/// Reads the object "limits" of a settings file, all of whose fields are
/// optional; see docs/settings.md. Doesn't finish the object.
void
gpReadClientLimits(gpJsonObject& aObject, gpClientLimits& aLimits);
