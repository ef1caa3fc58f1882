#pragma once

#include <map>
#include <string>
#include <string_view>

/// Adds a received header under its name in lower case; a repeated one is
/// joined to the first by a comma, as RFC 9110, section 5.3 has it.
void
gpAddHeader(std::map<std::string, std::string>& aHeaders,
            std::string_view aName,
            std::string_view aValue);
