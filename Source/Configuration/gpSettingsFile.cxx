#include "gpSettingsFile.h"

#include "gpClientLimitsReader.h"
#include "gpJsonReader.h"

namespace {

constexpr gpNumberRange kPeriodMs = { 1, 600000 };
constexpr gpNumberRange kShutdownMs = { 0, 3600000 };

void
ReadSite(gpJsonObject aObject, gpPresence aRack, gpSite& aSite)
{
  constexpr auto kRequired = gpPresence::Required;
  aObject.Text("region", aSite.region_, kNameRule, kRequired);
  aObject.Text("data_centre", aSite.dataCentre_, kNameRule, kRequired);
  aObject.Text("rack", aSite.rack_, kNameRule, aRack);
  aObject.Finish();
}

void
ReadTimings(gpJsonObject aObject, gpTimings& aTimings)
{
  aObject.Millis("heartbeat_ms", aTimings.heartbeat_, kPeriodMs);
  aObject.Millis("link_silence_ms", aTimings.linkSilence_, kPeriodMs);
  aObject.Millis("claim_reply_ms", aTimings.claimReply_, kPeriodMs);
  aObject.Millis("claim_total_ms", aTimings.claimTotal_, kPeriodMs);
  aObject.Millis("in_doubt_ms", aTimings.inDoubt_, kPeriodMs);
  aObject.Millis("member_removal_ms", aTimings.memberRemoval_, kPeriodMs);
  aObject.Millis("shutdown_ms", aTimings.shutdown_, kShutdownMs);
  if (aTimings.linkSilence_ <= aTimings.heartbeat_) {
    aObject.AddError("link_silence_ms", "more than heartbeat_ms");
  }
  if (aTimings.claimTotal_ < aTimings.claimReply_) {
    aObject.AddError("claim_total_ms", "at least claim_reply_ms");
  }
  aObject.Finish();
}

// Reads an object with one required string field, such as {"listen": "..."}.
template<typename Target>
void
ReadRequiredText(gpJsonObject aObject,
                 std::string_view aKey,
                 const gpTextRule& aRule,
                 Target& aTarget)
{
  aObject.Text(aKey, aTarget, aRule, gpPresence::Required);
  aObject.Finish();
}

template<typename Settings>
void
ReadLinks(gpJsonObject aObject, Settings& aSettings)
{
  aObject.Text(
    "listen", aSettings.linkListen_, kListenRule, gpPresence::Required);
  aObject.Text("advertise", aSettings.linkAdvertise_, kAddressRule);
  aObject.Finish();
}

// Reads the settings that entries and guards have in common.
template<typename Settings>
void
ReadCommon(gpJsonObject& aRoot, gpPresence aRack, Settings& aSettings)
{
  constexpr auto kRequired = gpPresence::Required;
  aRoot.Text("name", aSettings.name_, kNameRule, kRequired);
  ReadSite(aRoot.Object("site"), aRack, aSettings.site_);
  ReadRequiredText(
    aRoot.Object("http"), "listen", kListenRule, aSettings.httpListen_);
  ReadLinks(aRoot.Object("links"), aSettings);
  ReadRequiredText(aRoot.Object("log_service"),
                   "address",
                   kAddressRule,
                   aSettings.logService_);
  gpJsonObject eventLog = aRoot.Object("event_log");
  eventLog.Text("file", aSettings.eventLog_, kNonEmptyRule);
  eventLog.Finish();
  ReadTimings(aRoot.Object("timings"), aSettings.timings_);
  gpJsonObject limits = aRoot.Object("limits");
  gpReadClientLimits(limits, aSettings.limits_);
  limits.Finish();
}

void
Read(gpJsonObject& aRoot, gpEntrySettings& aSettings)
{
  ReadCommon(aRoot, gpPresence::Optional, aSettings);
  aRoot.Finish();
}

void
Read(gpJsonObject& aRoot, gpGuardSettings& aSettings)
{
  ReadCommon(aRoot, gpPresence::Required, aSettings);
  for (const gpJsonText& entry : aRoot.Texts("entries", kAddressRule)) {
    aSettings.entries_.emplace_back(entry.text_);
  }
  aRoot.Finish();
}

template<typename Settings>
absl::StatusOr<Settings>
Parse(const std::string& aFileName, std::string_view aText)
{
  gpJsonDocument document = gpJsonDocument::Parse(aText);
  gpJsonErrors errors = std::move(document.errors_);
  Settings settings;
  if (document.parsed_) {
    gpJsonObject root(document.root_, "", errors);
    Read(root, settings);
  }
  if (errors.empty()) {
    return settings;
  }
  for (gpConfigurationError& error : errors) {
    error.path_ = aFileName + "#" + error.path_;
  }
  return gpMakeErrors(gpErrorCode::BadSettings, errors);
}

} // namespace

absl::StatusOr<gpEntrySettings>
gpParseEntrySettings(const std::string& aFileName, std::string_view aText)
{
  return Parse<gpEntrySettings>(aFileName, aText);
}

absl::StatusOr<gpGuardSettings>
gpParseGuardSettings(const std::string& aFileName, std::string_view aText)
{
  return Parse<gpGuardSettings>(aFileName, aText);
}
