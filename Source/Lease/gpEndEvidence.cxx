#include "gpEndEvidence.h"

#include <array>
#include <cstddef>

namespace {

constexpr std::array<const char*, 5> kNames = {
  "listed", "not_listed", "not_started", "target_replaced", "lease_expired",
};

} // namespace

std::string
gpEndEvidenceName(gpEndEvidence aEvidence)
{
  return kNames.at(static_cast<std::size_t>(aEvidence));
}
