#include "gpLoadResultFile.h"

#include <boost/json.hpp>

#include "gpError.h"
#include "gpLoadFields.h"
#include "gpLoadText.h"

namespace {

using boost::json::array;
using boost::json::object;

constexpr double kLargest = 1e12;

object
CountsJson(const std::map<std::string, std::uint64_t>& aCounts)
{
  object counts;
  for (const auto& [name, count] : aCounts) {
    counts[name] = count;
  }
  return counts;
}

object
PercentilesJson(const gpPercentiles& aPercentiles)
{
  return { { "count", aPercentiles.count_ },
           { "mean_us", aPercentiles.mean_.count() },
           { "p50_us", aPercentiles.p50_.count() },
           { "p90_us", aPercentiles.p90_.count() },
           { "p99_us", aPercentiles.p99_.count() },
           { "max_us", aPercentiles.max_.count() } };
}

object
RatiosJson(const gpPercentiles& aTimes, const gpPercentiles& aBounds)
{
  return { { "mean", gpRatioOf(aTimes.mean_, aBounds.mean_) },
           { "p50", gpRatioOf(aTimes.p50_, aBounds.p50_) },
           { "p90", gpRatioOf(aTimes.p90_, aBounds.p90_) },
           { "p99", gpRatioOf(aTimes.p99_, aBounds.p99_) },
           { "max", gpRatioOf(aTimes.max_, aBounds.max_) } };
}

object
GroupJson(const gpJobGroup& aGroup)
{
  return { { "kind", aGroup.kind_ },
           { "name", aGroup.name_ },
           { "jobs", aGroup.jobs_ },
           { "outcomes", CountsJson(aGroup.outcomes_) },
           { "completed_share", aGroup.completedShare_ },
           { "accepted", PercentilesJson(aGroup.accepted_) },
           { "response", PercentilesJson(aGroup.response_) },
           { "bound", PercentilesJson(aGroup.bound_) },
           { "ratio", RatiosJson(aGroup.response_, aGroup.bound_) } };
}

object
MessagesJson(const gpMessageReport& aMessages)
{
  array kinds;
  for (const gpMessageKindCount& kindCount : aMessages.kinds_) {
    kinds.emplace_back(object{ { "kind", kindCount.kind_ },
                               { "count", kindCount.count_ },
                               { "needed", kindCount.needed_ } });
  }
  return { { "needed", aMessages.needed_ },
           { "beyond", aMessages.excess_ },
           { "unread_processes", aMessages.unread_ },
           { "kinds", std::move(kinds) } };
}

object
RefusalsJson(const gpLoadResult& aResult)
{
  return { { "latency", PercentilesJson(aResult.refusals_) },
           { "that_say_when", aResult.refusalsWithRetryAfter_ },
           { "by_code", CountsJson(aResult.refusalsByCode_) } };
}

array
SecondsJson(const std::vector<gpLoadSecond>& aSeconds)
{
  array seconds;
  for (const gpLoadSecond& second : aSeconds) {
    seconds.emplace_back(object{ { "jobs", second.jobs_ },
                                 { "complete", second.complete_ },
                                 { "refused", second.refused_ },
                                 { "p99_us", second.p99_.count() } });
  }
  return seconds;
}

object
ResultJson(const gpLoadResult& aResult)
{
  array groups;
  for (const gpJobGroup& group : aResult.groups_) {
    groups.emplace_back(GroupJson(group));
  }
  array references;
  for (const gpReferenceResult& reference : aResult.references_) {
    references.emplace_back(
      object{ { "name", reference.name_ },
              { "response", PercentilesJson(reference.response_) } });
  }
  array bins;
  for (const gpHistogramBin& bin : aResult.histogram_) {
    bins.emplace_back(
      object{ { "up_to_us", bin.upTo_.count() }, { "jobs", bin.jobs_ } });
  }
  return { { "experiment", aResult.experiment_ },
           { "label", aResult.label_ },
           { "seed", aResult.seed_ },
           { "time_scale", aResult.timeScale_ },
           { "duration_ms", aResult.duration_.count() },
           { "capacity", aResult.capacity_ },
           { "load", aResult.load_ },
           { "offered", aResult.offered_ },
           { "goodput", aResult.goodput_ },
           { "tasks", aResult.tasks_ },
           { "resubmissions", aResult.resubmissions_ },
           { "redirects", aResult.redirects_ },
           { "worst_lag_us", aResult.worstLag_.count() },
           { "wrong_answers", aResult.WrongAnswers() },
           { "faults", CountsJson(aResult.faults_) },
           { "codes", CountsJson(aResult.codes_) },
           { "refusals", RefusalsJson(aResult) },
           { "messages", MessagesJson(aResult.messages_) },
           { "groups", std::move(groups) },
           { "references", std::move(references) },
           { "seconds", SecondsJson(aResult.seconds_) },
           { "histogram", std::move(bins) } };
}

/// Writes each member of the outer objects and lists on a line of its own, for
/// readable diffs.
void
Print(const boost::json::value& aValue,
      const std::string& aIndent,
      std::string& aText)
{
  const std::string indent = aIndent + "  ";
  const char* separator = "\n";
  const array* list = aValue.if_array();
  const object* members = aValue.if_object();
  const bool isOuter = aIndent.size() < 4;
  if (list != nullptr && isOuter && !list->empty()) {
    aText += "[";
    for (const boost::json::value& element : *list) {
      aText += separator + indent;
      Print(element, indent, aText);
      separator = ",\n";
    }
    aText += "\n" + aIndent + "]";
  } else if (members != nullptr && isOuter && !members->empty()) {
    aText += "{";
    for (const auto& member : *members) {
      aText += separator + indent + "\"" + std::string(member.key()) + "\": ";
      Print(member.value(), indent, aText);
      separator = ",\n";
    }
    aText += "\n" + aIndent + "}";
  } else {
    aText += boost::json::serialize(aValue);
  }
}

template<typename Duration>
void
ReadMicros(gpLoadFields& aFields, const std::string& aName, Duration& aTime)
{
  aFields.ReadTime(aName, aTime, 0, INT64_MAX);
}

void
ReadCounter(gpLoadFields& aFields,
            const std::string& aName,
            std::uint64_t& aCounter)
{
  aFields.ReadCount(aName, aCounter, 0, UINT64_MAX);
}

void
ReadCounts(gpLoadFields& aFields,
           const std::string& aName,
           std::map<std::string, std::uint64_t>& aCounts)
{
  aFields.ReadCounts(aName,
                     [&aCounts](const std::string& aKey, std::uint64_t aCount) {
                       aCounts[aKey] = aCount;
                     });
}

void
ReadPercentiles(gpLoadFields& aFields,
                const std::string& aName,
                gpPercentiles& aPercentiles)
{
  aFields.ReadObject(aName, [&aPercentiles](gpLoadFields& aTimes) {
    ReadCounter(aTimes, "count", aPercentiles.count_);
    ReadMicros(aTimes, "mean_us", aPercentiles.mean_);
    ReadMicros(aTimes, "p50_us", aPercentiles.p50_);
    ReadMicros(aTimes, "p90_us", aPercentiles.p90_);
    ReadMicros(aTimes, "p99_us", aPercentiles.p99_);
    ReadMicros(aTimes, "max_us", aPercentiles.max_);
  });
}

gpJobGroup
ReadGroup(gpLoadFields& aFields)
{
  gpJobGroup group;
  aFields.Read("kind", group.kind_);
  aFields.Read("name", group.name_);
  ReadCounter(aFields, "jobs", group.jobs_);
  ReadCounts(aFields, "outcomes", group.outcomes_);
  aFields.Read("completed_share", group.completedShare_, 0.0, 1.0);
  ReadPercentiles(aFields, "accepted", group.accepted_);
  ReadPercentiles(aFields, "response", group.response_);
  ReadPercentiles(aFields, "bound", group.bound_);
  return group;
}

void
ReadMessages(gpLoadFields& aFields, gpMessageReport& aMessages)
{
  ReadCounter(aFields, "needed", aMessages.needed_);
  ReadCounter(aFields, "beyond", aMessages.excess_);
  ReadCounter(aFields, "unread_processes", aMessages.unread_);
  aFields.ReadList("kinds", [&aMessages](gpLoadFields& aKind) {
    gpMessageKindCount kindCount;
    aKind.Read("kind", kindCount.kind_);
    ReadCounter(aKind, "count", kindCount.count_);
    ReadCounter(aKind, "needed", kindCount.needed_);
    aMessages.kinds_.push_back(kindCount);
  });
}

void
ReadLists(gpLoadFields& aFields, gpLoadResult& aResult)
{
  aFields.ReadList("groups", [&aResult](gpLoadFields& aGroup) {
    aResult.groups_.push_back(ReadGroup(aGroup));
  });
  aFields.ReadList("references", [&aResult](gpLoadFields& aReference) {
    gpReferenceResult reference;
    aReference.Read("name", reference.name_);
    ReadPercentiles(aReference, "response", reference.response_);
    aResult.references_.push_back(reference);
  });
  aFields.ReadList("seconds", [&aResult](gpLoadFields& aSecond) {
    gpLoadSecond second;
    ReadCounter(aSecond, "jobs", second.jobs_);
    ReadCounter(aSecond, "complete", second.complete_);
    ReadCounter(aSecond, "refused", second.refused_);
    ReadMicros(aSecond, "p99_us", second.p99_);
    aResult.seconds_.push_back(second);
  });
  aFields.ReadList("histogram", [&aResult](gpLoadFields& aBin) {
    gpHistogramBin bin;
    ReadMicros(aBin, "up_to_us", bin.upTo_);
    ReadCounter(aBin, "jobs", bin.jobs_);
    aResult.histogram_.push_back(bin);
  });
}

void
ReadResult(gpLoadFields& aFields, gpLoadResult& aResult)
{
  aFields.Read("experiment", aResult.experiment_);
  aFields.Read("label", aResult.label_);
  ReadCounter(aFields, "seed", aResult.seed_);
  aFields.Read("time_scale", aResult.timeScale_, 0.0, kLargest);
  ReadMicros(aFields, "duration_ms", aResult.duration_);
  aFields.Read("capacity", aResult.capacity_, 0.0, kLargest);
  aFields.Read("load", aResult.load_, 0.0, kLargest);
  aFields.Read("offered", aResult.offered_, 0.0, kLargest);
  aFields.Read("goodput", aResult.goodput_, 0.0, kLargest);
  ReadCounter(aFields, "tasks", aResult.tasks_);
  ReadCounter(aFields, "resubmissions", aResult.resubmissions_);
  ReadCounter(aFields, "redirects", aResult.redirects_);
  ReadMicros(aFields, "worst_lag_us", aResult.worstLag_);
  ReadCounts(aFields, "faults", aResult.faults_);
  ReadCounts(aFields, "codes", aResult.codes_);
  aFields.ReadObject("refusals", [&aResult](gpLoadFields& aRefusals) {
    ReadPercentiles(aRefusals, "latency", aResult.refusals_);
    ReadCounter(aRefusals, "that_say_when", aResult.refusalsWithRetryAfter_);
    ReadCounts(aRefusals, "by_code", aResult.refusalsByCode_);
  });
  aFields.ReadObject("messages", [&aResult](gpLoadFields& aMessages) {
    ReadMessages(aMessages, aResult.messages_);
  });
  ReadLists(aFields, aResult);
}

} // namespace

std::string
gpFormatLoadResult(const gpLoadResult& aResult)
{
  std::string text;
  Print(ResultJson(aResult), "", text);
  return text + "\n";
}

absl::StatusOr<gpLoadResult>
gpParseLoadResult(std::string_view aText)
{
  boost::json::error_code error;
  const boost::json::value document =
    boost::json::parse({ aText.data(), aText.size() }, error);
  if (error) {
    return gpMakeError(gpErrorCode::BadSettings,
                       "result is not JSON: " + error.message());
  }
  gpLoadResult result;
  absl::Status status;
  gpLoadFields fields(document, "", status);
  ReadResult(fields, result);
  if (result.groups_.empty()) {
    fields.Fail("groups", "is missing or empty");
  }
  if (!status.ok()) {
    return status;
  }
  return result;
}
