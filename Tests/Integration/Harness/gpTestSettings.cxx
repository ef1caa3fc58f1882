#include "gpTestSettings.h"

#include <fstream>

#include <boost/json.hpp>

#include "gpTestFailure.h"

namespace {

boost::json::object
ToJson(const gpTimings& aTimings)
{
  return { { "heartbeat_ms", aTimings.heartbeat_.count() },
           { "link_silence_ms", aTimings.linkSilence_.count() },
           { "claim_reply_ms", aTimings.claimReply_.count() },
           { "claim_total_ms", aTimings.claimTotal_.count() },
           { "in_doubt_ms", aTimings.inDoubt_.count() },
           { "member_removal_ms", aTimings.memberRemoval_.count() },
           { "shutdown_ms", aTimings.shutdown_.count() } };
}

/// The settings that entries and guards share.
template<typename Settings>
boost::json::object
ToJson(const Settings& aSettings)
{
  boost::json::object site{
    { "region", aSettings.site_.region_.value_ },
    { "data_centre", aSettings.site_.dataCentre_.value_ },
    { "rack", aSettings.site_.rack_.value_ },
  };
  boost::json::object links{ { "listen", aSettings.linkListen_.value_ } };
  if (!aSettings.linkAdvertise_.value_.empty()) {
    links["advertise"] = aSettings.linkAdvertise_.value_;
  }
  boost::json::object json;
  json["name"] = aSettings.name_;
  json["site"] = std::move(site);
  json["http"] = { { "listen", aSettings.httpListen_.value_ } };
  json["links"] = std::move(links);
  json["log_service"] = { { "address", aSettings.logService_.value_ } };
  json["event_log"] = { { "file", aSettings.eventLog_ } };
  json["timings"] = ToJson(aSettings.timings_);
  return json;
}

void
Write(const std::filesystem::path& aFile, const boost::json::object& aJson)
{
  std::ofstream file(aFile, std::ios::trunc);
  file << boost::json::serialize(aJson) << "\n";
  file.close();
  if (!file) {
    throw gpTestFailure("can't write " + aFile.string());
  }
}

} // namespace

void
gpWriteSettings(const std::filesystem::path& aFile,
                const gpEntrySettings& aSettings)
{
  Write(aFile, ToJson(aSettings));
}

void
gpWriteSettings(const std::filesystem::path& aFile,
                const gpGuardSettings& aSettings)
{
  boost::json::object json = ToJson(aSettings);
  boost::json::array entries;
  for (const gpAddress& entry : aSettings.entries_) {
    entries.emplace_back(entry.value_);
  }
  json["entries"] = std::move(entries);
  Write(aFile, json);
}
