#include "gpConfigurationFile.h"

#include "gpConfigurationReader.h"

namespace {

namespace json = boost::json;

constexpr std::uint64_t kMaxQueueTasks = 1000000;
constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;
constexpr std::uint64_t kMaxAttempts = 100;
constexpr std::uint64_t kMaxBudgetPercent = 1000;
constexpr std::uint64_t kMaxFailures = 1000;
constexpr std::uint64_t kMaxEjectedPercent = 100;
constexpr std::uint64_t kMaxWeight = 1000;
constexpr std::uint64_t kHourMs = 3600000;
constexpr std::uint64_t kDayMs = 24 * kHourMs;
/// Claims must be retained for at least this many times the service's longest
/// deadline.
constexpr int kRetentionFactor = 2;
constexpr std::size_t kIndent = 2;

constexpr std::array<gpChoice<gpPlacement>, 5> kPlacements = { {
  { "expected_finish", gpPlacement::ExpectedFinish },
  { "random", gpPlacement::Random },
  { "round_robin", gpPlacement::RoundRobin },
  { "least_loaded", gpPlacement::LeastLoaded },
  { "two_choices", gpPlacement::TwoChoices },
} };

void
ReadLimits(gpJsonObject aObject, gpLimits& aLimits)
{
  aObject.Number("queue_tasks", aLimits.queueTasks_, { 1, kMaxQueueTasks });
  aObject.Number("job_tasks", aLimits.jobTasks_, { 1, kGpMostJobTasks });
  aObject.Number("body_bytes", aLimits.bodyBytes_, { 1, kMaxBodyBytes });
  aObject.Millis("max_deadline_ms", aLimits.maxDeadline_, { 1, kHourMs });
  aObject.Millis(
    "default_deadline_ms", aLimits.defaultDeadline_, { 1, kHourMs });
  if (aLimits.defaultDeadline_ > aLimits.maxDeadline_) {
    aObject.AddError("default_deadline_ms",
                     "at most max_deadline_ms, which is " +
                       std::to_string(aLimits.maxDeadline_.count()));
  }
  aObject.Finish();
}

void
ReadRetries(gpJsonObject aObject, gpRetrySettings& aRetries)
{
  aObject.Number("max_attempts", aRetries.maxAttempts_, { 1, kMaxAttempts });
  aObject.Number(
    "budget_percent", aRetries.budgetPercent_, { 0, kMaxBudgetPercent });
  aObject.Finish();
}

void
ReadClaims(gpJsonObject aObject,
           const gpLimits& aLimits,
           gpClaimSettings& aClaims)
{
  aObject.Millis("retention_ms", aClaims.retention_, { 1, kDayMs });
  aObject.Millis("log_silence_ms", aClaims.logSilence_, { 1000, kDayMs });
  const gpMillis least = kRetentionFactor * aLimits.maxDeadline_;
  if (aClaims.retention_ < least) {
    aObject.AddError("retention_ms",
                     "at least twice limits/max_deadline_ms, that is " +
                       std::to_string(least.count()));
  }
  aObject.Finish();
}

void
ReadEjection(gpJsonObject aObject, gpEjectionSettings& aEjection)
{
  aObject.Number("failures", aEjection.failures_, { 1, kMaxFailures });
  aObject.Millis("probe_after_ms", aEjection.probeAfter_, { 1, kHourMs });
  aObject.Number(
    "max_percent", aEjection.maxPercent_, { 0, kMaxEjectedPercent });
  aObject.Finish();
}

gpServiceConfig
ReadService(const std::string& aName, gpJsonObject& aObject)
{
  gpServiceConfig service;
  service.name_ = gpServiceName(aName);
  aObject.Text("region", service.region_, kNameRule, gpPresence::Required);
  aObject.Choice("placement", service.placement_, kPlacements);
  ReadLimits(aObject.Object("limits"), service.limits_);
  ReadRetries(aObject.Object("retries"), service.retries_);
  ReadClaims(aObject.Object("claims"), service.limits_, service.claims_);
  ReadEjection(aObject.Object("ejection"), service.ejection_);
  aObject.Finish();
  return service;
}

// The services of a team are checked against all keys under "services", also
// those of invalid services. Otherwise an invalid service would cause a further
// error for each team that names it.
gpTeamConfig
ReadTeam(const std::string& aName,
         gpJsonObject& aObject,
         const gpJsonObject& aServices,
         gpJsonErrors& aErrors)
{
  gpTeamConfig team;
  team.name_ = gpTeamName(aName);
  for (const gpJsonText& service : aObject.Texts("services", kNameRule)) {
    if (!aServices.Has(service.text_)) {
      aErrors.push_back(
        { service.path_, "the name of a service in this file" });
    }
    team.services_.insert(gpServiceName(service.text_));
  }
  aObject.Number("weight", team.weight_, { 1, kMaxWeight });
  aObject.Number("max_tasks", team.maxTasks_, { 1, kMaxQueueTasks });
  aObject.Finish();
  return team;
}

void
ReadDrain(gpJsonObject& aObject, std::set<gpDrain>& aDrains)
{
  gpDrain drain;
  aObject.Text("guard", drain.guard_, kAddressRule, gpPresence::Required);
  aObject.Finish();
  if (!drain.guard_.value_.empty() && !aDrains.insert(drain).second) {
    aObject.AddError("guard", "each guard once; this one is a duplicate");
  }
}

json::object
ToJson(const gpServiceConfig& aService)
{
  json::object object;
  object["region"] = aService.region_.value_;
  for (const auto& choice : kPlacements) {
    if (choice.value_ == aService.placement_) {
      object["placement"] = std::string(choice.name_);
    }
  }
  const gpLimits& limits = aService.limits_;
  object["limits"] = {
    { "queue_tasks", limits.queueTasks_ },
    { "job_tasks", limits.jobTasks_ },
    { "body_bytes", limits.bodyBytes_ },
    { "max_deadline_ms", limits.maxDeadline_.count() },
    { "default_deadline_ms", limits.defaultDeadline_.count() },
  };
  object["retries"] = {
    { "max_attempts", aService.retries_.maxAttempts_ },
    { "budget_percent", aService.retries_.budgetPercent_ },
  };
  object["claims"] = {
    { "retention_ms", aService.claims_.retention_.count() },
    { "log_silence_ms", aService.claims_.logSilence_.count() },
  };
  object["ejection"] = {
    { "failures", aService.ejection_.failures_ },
    { "probe_after_ms", aService.ejection_.probeAfter_.count() },
    { "max_percent", aService.ejection_.maxPercent_ },
  };
  return object;
}

json::object
ToJson(const gpTeamConfig& aTeam)
{
  json::array services;
  for (const gpServiceName& service : aTeam.services_) {
    services.emplace_back(service.value_);
  }
  json::object object;
  object["services"] = std::move(services);
  object["weight"] = aTeam.weight_;
  object["max_tasks"] = aTeam.maxTasks_;
  return object;
}

std::string
LineBreak(std::size_t aDepth)
{
  return "\n" + std::string(aDepth * kIndent, ' ');
}

// Appends a JSON value with one field or element per line. aDepth is the number
// of objects and lists around the value.
void
Indent(const json::value& aValue, std::size_t aDepth, std::string& aOut)
{
  const bool isObject = aValue.is_object() && !aValue.get_object().empty();
  const bool isArray = aValue.is_array() && !aValue.get_array().empty();
  if (!isObject && !isArray) {
    aOut += json::serialize(aValue);
    return;
  }
  const char* separator = "";
  aOut += isObject ? "{" : "[";
  if (isObject) {
    for (const json::key_value_pair& member : aValue.get_object()) {
      aOut += separator + LineBreak(aDepth + 1);
      aOut += json::serialize(json::string(member.key())) + ": ";
      Indent(member.value(), aDepth + 1, aOut);
      separator = ",";
    }
  } else {
    for (const json::value& element : aValue.get_array()) {
      aOut += separator + LineBreak(aDepth + 1);
      Indent(element, aDepth + 1, aOut);
      separator = ",";
    }
  }
  aOut += LineBreak(aDepth) + (isObject ? "}" : "]");
}

} // namespace

gpConfiguration
gpReadConfiguration(gpJsonObject& aFile, gpJsonErrors& aErrors)
{
  gpConfiguration configuration;
  gpJsonObject services = aFile.Object("services");
  services.Members(kNameRule,
                   [&](const std::string& aName, gpJsonObject& aObject) {
                     configuration.services_[gpServiceName(aName)] =
                       ReadService(aName, aObject);
                   });
  aFile.Object("teams").Members(
    kNameRule, [&](const std::string& aName, gpJsonObject& aObject) {
      configuration.teams_[gpTeamName(aName)] =
        ReadTeam(aName, aObject, services, aErrors);
    });
  aFile.Objects("drains", [&](gpJsonObject& aObject) {
    ReadDrain(aObject, configuration.drains_);
  });
  aFile.Finish();
  return configuration;
}

boost::json::object
gpConfigurationToJson(const gpConfiguration& aConfiguration)
{
  json::object services;
  for (const auto& [name, service] : aConfiguration.services_) {
    services[name.value_] = ToJson(service);
  }
  json::object teams;
  for (const auto& [name, team] : aConfiguration.teams_) {
    teams[name.value_] = ToJson(team);
  }
  json::array drains;
  for (const gpDrain& drain : aConfiguration.drains_) {
    drains.push_back(json::object{ { "guard", drain.guard_.value_ } });
  }
  json::object file;
  file["services"] = std::move(services);
  file["teams"] = std::move(teams);
  file["drains"] = std::move(drains);
  return file;
}

absl::StatusOr<gpConfiguration>
gpParseConfiguration(std::string_view aText)
{
  gpJsonDocument document = gpJsonDocument::Parse(aText);
  gpJsonErrors errors = std::move(document.errors_);
  gpConfiguration configuration;
  if (document.parsed_) {
    gpJsonObject file(document.root_, "", errors);
    configuration = gpReadConfiguration(file, errors);
  }
  if (!errors.empty()) {
    return gpMakeErrors(gpErrorCode::BadConfiguration, errors);
  }
  return configuration;
}

std::string
gpRenderConfiguration(const gpConfiguration& aConfiguration)
{
  return json::serialize(gpConfigurationToJson(aConfiguration));
}

std::string
gpIndentJson(std::string_view aText)
{
  json::error_code error;
  const json::value value = json::parse(json::string_view(aText), error);
  std::string indented;
  if (!error) {
    Indent(value, 0, indented);
  }
  return indented;
}
