#include "gpTargetRecord.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "gpError.h"
#include "gpJsonReader.h"

namespace json = boost::json;

namespace {

constexpr gpNumberRange kResources = { 0, kMaxTargetResource };
const gpTextRule kIdRule = {
  gpIsTargetId,
  "1 to 255 visible ASCII characters without '/' and '?'",
};

} // namespace

std::string
gpRenderTargetRecord(const gpTargetRecord& aRecord)
{
  const gpTargetAnnouncement& target = aRecord.target_;
  json::array labels;
  for (const std::string& label : target.labels_) {
    labels.emplace_back(label);
  }
  return json::serialize(
    json::object{ { "id", target.id_ },
                  { "start_time", target.startTime_ },
                  { "sequence", target.sequence_ },
                  { "service", target.service_.value_ },
                  { "draining", target.draining_ },
                  { "milli_cores", target.capacity_.milliCores_ },
                  { "memory_mb", target.capacity_.memoryMb_ },
                  { "accelerators", target.capacity_.accelerators_ },
                  { "labels", std::move(labels) },
                  { "capacity_enforced", aRecord.capacityEnforced_ } });
}

absl::StatusOr<gpTargetRecord>
gpParseTargetRecord(std::string_view aText)
{
  constexpr auto kRequired = gpPresence::Required;
  gpJsonDocument document = gpJsonDocument::Parse(aText);
  gpJsonErrors errors = std::move(document.errors_);
  gpTargetRecord record;
  gpTargetAnnouncement& target = record.target_;
  if (document.parsed_) {
    gpJsonObject root(document.root_, "", errors);
    root.Text("id", target.id_, kIdRule, kRequired);
    root.Number("start_time", target.startTime_, {}, kRequired);
    root.Number("sequence", target.sequence_, {}, kRequired);
    root.Text("service", target.service_, kNonEmptyRule, kRequired);
    root.Flag("draining", target.draining_);
    root.Number(
      "milli_cores", target.capacity_.milliCores_, kResources, kRequired);
    root.Number("memory_mb", target.capacity_.memoryMb_, kResources);
    root.Number("accelerators", target.capacity_.accelerators_, kResources);
    for (gpJsonText& label : root.Texts("labels", kNonEmptyRule)) {
      target.labels_.push_back(std::move(label.text_));
    }
    root.Flag("capacity_enforced", record.capacityEnforced_);
  }
  if (!errors.empty()) {
    return gpMakeErrors(gpErrorCode::BadRecord, errors);
  }
  return record;
}
