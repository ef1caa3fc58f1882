#include "gpTargetControl.h"

#include <algorithm>

#include <boost/json.hpp>

#include "gpControlFields.h"
#include "gpTargetStandIn.h"

namespace {

void
ShowMaximum(const gpTargetJournal& aJournal, boost::json::object& aShown)
{
  const auto& starts = aJournal.GetStarts();
  const auto most = std::max_element(
    starts.begin(), starts.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  if (most != starts.end()) {
    aShown["max_key"] = most->first;
    aShown["max_starts"] = most->second;
  }
}

} // namespace

absl::Status
gpApplyTargetCommand(gpTargetStandIn& aTarget, const std::string& aBody)
{
  gpTargetBehaviour behaviour = aTarget.GetBehaviour();
  absl::Status status =
    gpReadFields(aBody,
                 { { "fail_all", gpReadInto(behaviour.failAll_) },
                   { "speed", gpReadInto(behaviour.speed_) },
                   { "hang", gpReadInto(behaviour.hang_) },
                   { "crash_next", gpReadInto(behaviour.crashNext_) } });
  if (status.ok()) {
    aTarget.SetBehaviour(behaviour);
  }
  return status;
}

std::string
gpShowTarget(const gpTargetStandIn& aTarget, const std::string& aUrl)
{
  const gpTargetCounts& counts = aTarget.GetCounts();
  const gpTargetJournal& journal = aTarget.GetJournal();
  boost::json::object shown{ { "running", counts.running_ },
                             { "peak_running", counts.peakRunning_ },
                             { "total_starts", journal.Total() },
                             { "cut", counts.cut_ } };
  if (aUrl.find("max=1") != std::string::npos) {
    ShowMaximum(journal, shown);
  } else {
    boost::json::object& starts = shown["starts"].emplace_object();
    for (const auto& [key, count] : journal.GetStarts()) {
      starts[key] = count;
    }
  }
  return boost::json::serialize(shown);
}
