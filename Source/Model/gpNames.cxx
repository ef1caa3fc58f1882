#include <array>

#include "gpAnswer.h"
#include "gpMember.h"
#include "gpRunMessages.h"

namespace {

constexpr std::array<std::string_view, 3> kOutcomeNames = {
  "not_run",
  "failed",
  "unknown",
};

constexpr std::array<std::string_view, 18> kFailureNames = {
  "queue_full",        "quota_exceeded",  "deadline_unmeetable",
  "deadline_exceeded", "unknown_service", "unknown_team",
  "too_large",         "no_target",       "no_configuration",
  "claim_unavailable", "claim_lost",      "claim_unreachable",
  "key_reused",        "task_failed",     "task_in_doubt",
  "shutting_down",     "cancelled",       "not_found",
};

constexpr std::array<std::string_view, 3> kRoleNames = {
  "entry",
  "guard",
  "command",
};

constexpr std::array<const char*, 7> kRunEndNames = {
  "done", "failed", "stopped", "no_room", "leaving", "unhealthy", "outdated",
};

} // namespace

std::string
gpRunEndName(gpRunEnd aEnd)
{
  return kRunEndNames.at(static_cast<std::size_t>(aEnd));
}

std::string_view
gpOutcomeName(gpOutcome aOutcome)
{
  return kOutcomeNames.at(static_cast<std::size_t>(aOutcome));
}

std::string_view
gpFailureName(gpFailureCode aCode)
{
  return kFailureNames.at(static_cast<std::size_t>(aCode));
}

std::string_view
gpRoleName(gpRole aRole)
{
  return kRoleNames.at(static_cast<std::size_t>(aRole));
}
