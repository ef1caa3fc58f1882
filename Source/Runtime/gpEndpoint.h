#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include "gpIds.h"

/// Reads "127.0.0.1:8080" or "[::1]:8080"; BadArgument if it's neither. For
/// .cxx files of this folder only.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
gpParseEndpoint(const gpAddress& aAddress);

/// The reverse of gpParseEndpoint.
gpAddress
gpEndpointAddress(const boost::asio::ip::tcp::endpoint& aEndpoint);
