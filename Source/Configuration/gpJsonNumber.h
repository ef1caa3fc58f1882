#pragma once

#include <cstdint>
#include <optional>

#include <boost/json/fwd.hpp>

/// The value as an integer of at least 0; not set if it's anything else.
std::optional<std::uint64_t>
gpToUnsigned(const boost::json::value& aValue);
