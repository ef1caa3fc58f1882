#include "gpLeaseSettingsFile.h"

#include <cmath>

#include "gpClientLimitsReader.h"
#include "gpJsonReader.h"

namespace {

constexpr auto kRequired = gpPresence::Required;
constexpr gpNumberRange kPartitions = { 1, 1000 };
constexpr gpNumberRange kGraceMs = { 100, 3600000 };
constexpr gpNumberRange kPort = { 1, 65535 };
/// From the most tasks of one job.
constexpr gpNumberRange kTasks = { 10000, 10000000 };
constexpr double kMaxCores = 1024;
constexpr double kMilliCoresPerCore = 1000;

template<typename Target>
void
ReadAddress(gpJsonObject aObject,
            std::string_view aKey,
            const gpTextRule& aRule,
            Target& aTarget)
{
  aObject.Text(aKey, aTarget, aRule, kRequired);
  aObject.Finish();
}

/// Reads the addresses of entries. All entries listen for links on the same
/// port, but the addresses in the settings may have another port. If link_port
/// is set, it replaces the port of each address.
void
ReadEntries(gpJsonObject aObject, std::vector<gpAddress>& aEntries)
{
  std::uint32_t port = 0;
  aObject.Number("link_port", port, kPort);
  for (const gpJsonText& entry : aObject.Texts("addresses", kAddressRule)) {
    std::string address = entry.text_;
    if (port != 0) {
      address = address.substr(0, address.rfind(':') + 1);
      address += std::to_string(port);
    }
    aEntries.emplace_back(address);
  }
  aObject.Finish();
}

void
ReadLimits(gpJsonObject aObject, gpRole aRole, gpClientLimits& aLimits)
{
  if (aRole == gpRole::Entry) {
    aObject.Number("tasks", aLimits.tasks_, kTasks);
  } else {
    aLimits = kGuardClientLimits;
  }
  gpReadClientLimits(aObject, aLimits);
  aObject.Finish();
}

void
ReadEntry(gpJsonObject& aRoot, gpLeaseSettings& aSettings)
{
  ReadAddress(
    aRoot.Object("callers"), "listen", kListenRule, aSettings.callersListen_);
  gpJsonObject processor = aRoot.Object("processor");
  double cores = 0;
  processor.Decimal("cores", cores, kMaxCores);
  processor.Finish();
  aSettings.milliCores_ =
    static_cast<std::uint32_t>(std::lround(cores * kMilliCoresPerCore));
}

void
ReadGuard(gpJsonObject& aRoot, gpLeaseSettings& aSettings)
{
  gpJsonObject target = aRoot.Object("target");
  target.Text("address", aSettings.target_, kAddressRule, kRequired);
  target.Text("listen", aSettings.targetListen_, kListenRule, kRequired);
  target.Text("service", aSettings.service_, kNonEmptyRule, kRequired);
  target.Finish();
}

void
ReadRoot(gpJsonObject& aRoot, gpRole aRole, gpLeaseSettings& aSettings)
{
  aRoot.Text("name", aSettings.name_, kNonEmptyRule, kRequired);
  gpJsonObject site = aRoot.Object("site");
  site.Text("region", aSettings.site_.region_, kNonEmptyRule, kRequired);
  site.Text(
    "data_centre", aSettings.site_.dataCentre_, kNonEmptyRule, kRequired);
  site.Finish();
  gpJsonObject links = aRoot.Object("links");
  links.Text("listen", aSettings.linkListen_, kListenRule, kRequired);
  links.Text("advertise", aSettings.linkAdvertise_, kAddressRule);
  links.Finish();
  ReadAddress(
    aRoot.Object("status"), "listen", kListenRule, aSettings.statusListen_);
  gpJsonObject metrics = aRoot.Object("metrics");
  metrics.Text("listen", aSettings.metricsListen_, kListenRule);
  metrics.Finish();
  gpJsonObject store = aRoot.Object("store");
  store.Text("address", aSettings.store_, kAddressRule, kRequired);
  store.Number("partitions", aSettings.storePartitions_, kPartitions);
  store.Finish();
  ReadEntries(aRoot.Object("entries"), aSettings.entries_);
  gpJsonObject eventLog = aRoot.Object("event_log");
  eventLog.Text("file", aSettings.eventLog_, kNonEmptyRule);
  eventLog.Finish();
  aRoot.Millis("grace_ms", aSettings.grace_, kGraceMs);
  ReadLimits(aRoot.Object("limits"), aRole, aSettings.limits_);
  if (aRole == gpRole::Entry) {
    ReadEntry(aRoot, aSettings);
  } else {
    ReadGuard(aRoot, aSettings);
  }
  aRoot.Finish();
}

} // namespace

bool
gpIsLeaseSettings(std::string_view aText)
{
  const gpJsonDocument document = gpJsonDocument::Parse(aText);
  const boost::json::object* root = document.root_.if_object();
  return root != nullptr && root->contains("store");
}

absl::StatusOr<gpLeaseSettings>
gpParseLeaseSettings(const std::string& aFileName,
                     std::string_view aText,
                     gpRole aRole)
{
  gpJsonDocument document = gpJsonDocument::Parse(aText);
  gpJsonErrors errors = std::move(document.errors_);
  gpLeaseSettings settings;
  if (document.parsed_) {
    gpJsonObject root(document.root_, "", errors);
    ReadRoot(root, aRole, settings);
  }
  if (errors.empty()) {
    return settings;
  }
  for (gpConfigurationError& error : errors) {
    error.path_ = aFileName + "#" + error.path_;
  }
  return gpMakeErrors(gpErrorCode::BadSettings, errors);
}
