#pragma once

#include <functional>

class gpEventLoop;

/// Handles events until the condition holds; CTest's timeout ends a wait in
/// vain.
void
gpRunUntil(gpEventLoop& aLoop, const std::function<bool()>& aCondition);
