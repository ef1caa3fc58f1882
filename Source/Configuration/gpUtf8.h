#pragma once

#include <string_view>

/// Whether the bytes are valid UTF-8 (RFC 3629).
bool
gpIsUtf8(std::string_view aBytes);
