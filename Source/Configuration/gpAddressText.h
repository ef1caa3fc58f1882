#pragma once

#include <string_view>

/// Which ports an address may have.
enum class gpPortRule
{
  Real, ///< 1 to 65535
  Any,  ///< also 0, which takes a free port when listening
};

/// Whether the text is an IP number and a port in their usual spelling, such
/// as "127.0.0.1:8080" or "[::1]:8080". Host names are refused.
bool
gpIsAddress(std::string_view aText, gpPortRule aPorts);
