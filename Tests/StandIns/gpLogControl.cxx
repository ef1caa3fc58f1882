#include "gpLogControl.h"

#include <cstddef>
#include <cstdint>
#include <map>

#include <boost/json.hpp>

#include "gpControlFields.h"
#include "gpError.h"
#include "gpLogStandIn.h"

namespace {

const std::map<std::string, gpLogMode> kModes = {
  { "up", gpLogMode::Up },
  { "refuse", gpLogMode::Refuse },
  { "hang", gpLogMode::Hang },
  { "lose_answers", gpLogMode::LoseAnswers },
};

gpFieldReader
ReadMode(gpLogMode& aTarget)
{
  return [&aTarget](const boost::json::value& aValue) {
    const auto mode = aValue.is_string()
                        ? kModes.find(aValue.get_string().c_str())
                        : kModes.end();
    if (mode != kModes.end()) {
      aTarget = mode->second;
    }
    return mode != kModes.end();
  };
}

} // namespace

absl::Status
gpApplyLogCommand(gpLogStandIn& aLog, const std::string& aBody)
{
  gpLogFaults faults = aLog.GetFaults();
  auto delayMs = static_cast<std::uint32_t>(faults.delay_.count());
  std::size_t retention = aLog.GetStreams().GetRetention();
  absl::Status status = gpReadFields(
    aBody,
    { { "mode", ReadMode(faults.mode_) },
      { "delay_ms", gpReadInto(delayMs) },
      { "appends_per_second", gpReadInto(faults.appendsPerSecond_) },
      { "retain_records", gpReadInto(retention) } });
  if (!status.ok()) {
    return status;
  }
  if (faults.appendsPerSecond_ <= 0) {
    return gpMakeError(gpErrorCode::BadRequest,
                       "appends_per_second must be greater than 0");
  }
  faults.delay_ = gpMillis(delayMs);
  aLog.SetFaults(faults);
  aLog.GetStreams().SetRetention(retention);
  return absl::OkStatus();
}

std::string
gpShowLog(gpLogStandIn& aLog)
{
  boost::json::object streams;
  for (const auto& [name, stream] : aLog.GetStreams().GetAll()) {
    streams[name] = boost::json::object{ { "earliest", stream.earliest_ },
                                         { "next", stream.Next() } };
  }
  const gpLogCounts& counts = aLog.GetCounts();
  return boost::json::serialize(
    boost::json::object{ { "appends", counts.appends_ },
                         { "reads", counts.reads_ },
                         { "refused", counts.refused_ },
                         { "hung", counts.hung_ },
                         { "lost_answers", counts.lostAnswers_ },
                         { "streams", std::move(streams) } });
}
