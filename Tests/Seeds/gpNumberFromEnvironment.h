#pragma once

#include <cstdint>

/// Returns the number in the environment variable aVariable, or aDefault if it
/// isn't set. Manual, longer test runs set such variables, for example
/// GP_HISTORY_SEED. See docs/testing.md.
std::uint64_t
gpNumberFromEnvironment(const char* aVariable, std::uint64_t aDefault);
