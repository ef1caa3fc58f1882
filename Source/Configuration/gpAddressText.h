#pragma once

#include <string_view>

/// Which port numbers an address may have.
enum class gpPortRule
{
  NonZero, ///< 1 to 65535
  Any,     ///< also 0; a listening socket is then bound to any free port
};

/// Whether the text is an IP address and a port in canonical form, such as
/// "127.0.0.1:8080" or "[::1]:8080". Host names are rejected.
bool
gpIsAddress(std::string_view aText, gpPortRule aPorts);
