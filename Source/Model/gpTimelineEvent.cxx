#include "gpTimelineEvent.h"

#include <array>
#include <cstdio>

namespace {

constexpr std::array<std::string_view, 47> kKindNames = {
  "process_started",
  "listening",
  "process_stopping",
  "process_stopped",
  "link_up",
  "link_down",
  "job_admitted",
  "job_answered",
  "job_attached",
  "caller_gone",
  "claim_asked",
  "claim_granted",
  "claim_denied",
  "claim_won",
  "claim_withdrawn",
  "claim_released",
  "claims_copied",
  "task_sent",
  "task_admitted",
  "task_refused",
  "task_ended",
  "task_in_doubt",
  "task_resolved",
  "task_tombstoned",
  "task_cancelled",
  "target_announced",
  "target_leaving",
  "target_ejected",
  "target_probed",
  "target_readmitted",
  "member_joined",
  "member_removed",
  "roster_in_force",
  "configuration_in_force",
  "configuration_rejected",
  "log_unavailable",
  "log_available",
  "bad_input",
  "settings_reloaded",
  "settings_rejected",
  "lines_dropped",
  "task_waiting",
  "target_crashed",
  "task_suspected",
  "queue_contained",
  "queue_released",
  "clients_limited",
};

static_assert(kKindNames.size() ==
              static_cast<std::size_t>(kGpLastEventKind) + 1);

} // namespace

std::string_view
gpEventKindName(gpEventKind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

std::string
gpJobIdText(const gpJobId& aJob)
{
  return gpIncarnationText(aJob.entry_) + "-" + std::to_string(aJob.sequence_);
}

std::string
gpIncarnationText(gpIncarnation aIncarnation)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(aIncarnation.value_));
  return text.data();
}
