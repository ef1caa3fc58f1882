#include "gpTargetRecord.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "gpError.h"
#include "gpJsonReader.h"

namespace json = boost::json;

std::string
gpRenderTargetRecord(const gpTargetAnnouncement& aTarget)
{
  json::array labels;
  for (const std::string& label : aTarget.labels_) {
    labels.emplace_back(label);
  }
  return json::serialize(
    json::object{ { "id", aTarget.id_ },
                  { "start_time", aTarget.startTime_ },
                  { "sequence", aTarget.sequence_ },
                  { "service", aTarget.service_.value_ },
                  { "draining", aTarget.draining_ },
                  { "milli_cores", aTarget.capacity_.milliCores_ },
                  { "memory_mb", aTarget.capacity_.memoryMb_ },
                  { "accelerators", aTarget.capacity_.accelerators_ },
                  { "labels", std::move(labels) } });
}

absl::StatusOr<gpTargetAnnouncement>
gpParseTargetRecord(std::string_view aText)
{
  constexpr auto kRequired = gpPresence::Required;
  gpJsonDocument document = gpJsonDocument::Parse(aText);
  gpJsonErrors errors = std::move(document.errors_);
  gpTargetAnnouncement target;
  if (document.parsed_) {
    gpJsonObject root(document.root_, "", errors);
    root.Text("id", target.id_, kNonEmptyRule, kRequired);
    root.Number("start_time", target.startTime_, {}, kRequired);
    root.Number("sequence", target.sequence_, {}, kRequired);
    root.Text("service", target.service_, kNonEmptyRule, kRequired);
    root.Flag("draining", target.draining_);
    root.Number("milli_cores", target.capacity_.milliCores_, {}, kRequired);
    root.Number("memory_mb", target.capacity_.memoryMb_, {});
    root.Number("accelerators", target.capacity_.accelerators_, {});
    for (gpJsonText& label : root.Texts("labels", kNonEmptyRule)) {
      target.labels_.push_back(std::move(label.text_));
    }
  }
  if (!errors.empty()) {
    return gpMakeErrors(gpErrorCode::BadRecord, errors);
  }
  return target;
}
