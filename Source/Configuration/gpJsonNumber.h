#pragma once

#include <cstdint>
#include <optional>

#include <boost/json/fwd.hpp>

/// The value as an unsigned integer; nullopt if it is negative, too large, has
/// a decimal point or exponent, or isn't a number.
std::optional<std::uint64_t>
gpToUnsigned(const boost::json::value& aValue);
