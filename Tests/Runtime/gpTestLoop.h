#pragma once

#include <functional>

class gpEventLoop;

/// Handles events until the condition is true. If it never is, the test fails
/// by the timeout of CTest.
void
gpRunUntil(gpEventLoop& aLoop, const std::function<bool()>& aCondition);
