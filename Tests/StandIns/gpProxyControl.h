#pragma once

#include <string>

#include <absl/status/status.h>

class gpFaultProxy;

/// Carries out a command of POST /control.
absl::Status
gpApplyProxyCommand(gpFaultProxy& aProxy, const std::string& aBody);

/// The answer to GET /control.
std::string
gpShowProxy(const gpFaultProxy& aProxy);
