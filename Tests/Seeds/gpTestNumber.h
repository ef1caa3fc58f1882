#pragma once

#include <cstdint>

/// A number that a longer run by hand sets in the environment, such as
/// GP_HISTORY_SEED; aDefault if it isn't set. See docs/testing.md.
std::uint64_t
gpTestNumber(const char* aVariable, std::uint64_t aDefault);
