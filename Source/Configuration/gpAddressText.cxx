#include "gpAddressText.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

#include <arpa/inet.h>

namespace {

constexpr std::uint32_t kMaxPort = 65535;

bool
IsPort(std::string_view aText, gpPortRule aPorts)
{
  std::uint32_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsed, error] = std::from_chars(aText.data(), end, port);
  if (error != std::errc() || parsed != end || port > kMaxPort) {
    return false;
  }
  if (port == 0 && aPorts == gpPortRule::NonZero) {
    return false;
  }
  return std::to_string(port) == aText;
}

// Accepts only the canonical form, which is what inet_ntop() prints for the
// parsed address. Each address then has exactly one accepted text, and
// comparing texts finds duplicates.
bool
IsIpNumber(int aFamily, const std::string& aText)
{
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  if (inet_pton(aFamily, aText.c_str(), binary.data()) != 1) {
    return false;
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  inet_ntop(aFamily, binary.data(), text.data(), text.size());
  return aText == text.data();
}

} // namespace

bool
gpIsAddress(std::string_view aText, gpPortRule aPorts)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(aText.substr(0, colon));
  if (!IsPort(aText.substr(colon + 1), aPorts)) {
    return false;
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return IsIpNumber(AF_INET6, host.substr(1, host.size() - 2));
  }
  return IsIpNumber(AF_INET, host);
}
