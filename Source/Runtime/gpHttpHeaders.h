#pragma once

#include <map>
#include <string>
#include <string_view>

/// Adds a received header under its name in lower case. The value of a repeated
/// header is appended to the first one after a comma (RFC 9110, section 5.3).
void
gpAddHeader(std::map<std::string, std::string>& aHeaders,
            std::string_view aName,
            std::string_view aValue);
