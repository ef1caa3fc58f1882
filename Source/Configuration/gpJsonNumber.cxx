#include "gpJsonNumber.h"

#include <boost/json.hpp>

std::optional<std::uint64_t>
gpToUnsigned(const boost::json::value& aValue)
{
  if (aValue.is_uint64()) {
    return aValue.get_uint64();
  }
  if (aValue.is_int64() && aValue.get_int64() >= 0) {
    return static_cast<std::uint64_t>(aValue.get_int64());
  }
  return std::nullopt;
}
