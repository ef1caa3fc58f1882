#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include "gpIds.h"

/// Parses a numeric IPv4 or IPv6 address with a port, such as "127.0.0.1:8080"
/// or "[::1]:8080"; host names are not resolved. Fails with BadArgument.
/// Internal: in Source, only the .cxx files of this folder include this header.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
gpParseEndpoint(const gpAddress& aAddress);

/// Formats an endpoint in the form that gpParseEndpoint accepts.
gpAddress
gpEndpointAddress(const boost::asio::ip::tcp::endpoint& aEndpoint);
