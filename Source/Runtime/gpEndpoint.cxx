#include "gpEndpoint.h"

#include <charconv>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include <boost/asio/ip/address.hpp>

#include "gpError.h"

namespace {

absl::Status
BadAddress(const gpAddress& aAddress)
{
  return gpMakeError(gpErrorCode::BadArgument,
                     "'" + aAddress.value_ +
                       "' is not a numeric IP address with a port");
}

std::string_view
StripBrackets(std::string_view aHost)
{
  if (aHost.size() >= 2 && aHost.front() == '[' && aHost.back() == ']') {
    return aHost.substr(1, aHost.size() - 2);
  }
  return aHost;
}

} // namespace

absl::StatusOr<boost::asio::ip::tcp::endpoint>
gpParseEndpoint(const gpAddress& aAddress)
{
  const std::string_view text = aAddress.value_;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return BadAddress(aAddress);
  }
  const std::string_view port = text.substr(colon + 1);
  std::uint16_t number = 0;
  const auto parsed =
    std::from_chars(port.data(), port.data() + port.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size()) {
    return BadAddress(aAddress);
  }
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address(
    std::string(StripBrackets(text.substr(0, colon))), error);
  if (error) {
    return BadAddress(aAddress);
  }
  return boost::asio::ip::tcp::endpoint(host, number);
}

gpAddress
gpEndpointAddress(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  std::ostringstream text;
  text << aEndpoint;
  return gpAddress(text.str());
}
