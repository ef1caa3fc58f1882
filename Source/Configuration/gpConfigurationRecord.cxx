#include "gpConfigurationRecord.h"

#include "gpConfigurationFile.h"
#include "gpConfigurationReader.h"

namespace {

namespace json = boost::json;

enum class RecordKind
{
  None,
  Apply,
  Checkpoint,
};

constexpr std::array<gpChoice<RecordKind>, 2> kKinds = { {
  { "apply", RecordKind::Apply },
  { "checkpoint", RecordKind::Checkpoint },
} };

constexpr std::string_view kFilePath = "/file";

bool
IsInFile(const gpConfigurationError& aError)
{
  const std::string& path = aError.path_;
  return path == kFilePath || path.starts_with(std::string(kFilePath) + "/");
}

// Removes the errors below "/file" from the list and returns them with paths
// relative to the file, as gpParseConfiguration reports them.
gpJsonErrors
ExtractFileErrors(gpJsonErrors& aErrors)
{
  const auto others =
    std::stable_partition(aErrors.begin(), aErrors.end(), IsInFile);
  gpJsonErrors inFile(aErrors.begin(), others);
  aErrors.erase(aErrors.begin(), others);
  for (gpConfigurationError& error : inFile) {
    error.path_.erase(0, kFilePath.size());
  }
  return inFile;
}

struct RecordFields
{
  RecordKind kind_ = RecordKind::None;
  gpConfigVersion version_;
  gpConfigVersion base_;
  gpApplyId applyId_;
  gpLogOffset asOf_;
  gpConfiguration file_;
};

RecordFields
ReadFields(gpJsonObject& aRecord, gpJsonErrors& aErrors)
{
  constexpr auto kRequired = gpPresence::Required;
  RecordFields fields;
  aRecord.Choice("kind", fields.kind_, kKinds);
  aRecord.Number("version", fields.version_, kRequired);
  aRecord.Text("apply_id", fields.applyId_, kNameRule, kRequired);
  if (fields.kind_ == RecordKind::Apply) {
    aRecord.Number("base", fields.base_, kRequired);
  } else if (fields.kind_ == RecordKind::Checkpoint) {
    aRecord.Number("as_of", fields.asOf_, kRequired);
  } else if (!aRecord.Has("kind")) {
    aRecord.AddError("kind", "the kind of the record; the field is missing");
  }
  if (!aRecord.Has("file")) {
    aRecord.AddError("file", "an object; the field is missing");
  }
  gpJsonObject file = aRecord.Object("file");
  fields.file_ = gpReadConfiguration(file, aErrors);
  aRecord.Finish();
  return fields;
}

gpApplyRecord
ToApply(RecordFields aFields, const gpJsonErrors& aFileErrors)
{
  gpApplyRecord apply{ aFields.version_,
                       aFields.base_,
                       std::move(aFields.applyId_),
                       std::move(aFields.file_) };
  if (!aFileErrors.empty()) {
    apply.file_ = gpMakeErrors(gpErrorCode::BadConfiguration, aFileErrors);
  }
  return apply;
}

gpConfigurationCheckpoint
ToCheckpoint(RecordFields aFields)
{
  std::string text = gpRenderConfiguration(aFields.file_);
  return { aFields.asOf_,
           { aFields.version_,
             std::move(aFields.file_),
             std::move(text),
             std::move(aFields.applyId_) } };
}

} // namespace

absl::StatusOr<gpConfigurationRecord>
gpParseConfigurationRecord(const std::string& aData)
{
  gpJsonDocument document = gpJsonDocument::Parse(aData);
  gpJsonErrors errors = std::move(document.errors_);
  RecordFields fields;
  if (document.parsed_) {
    gpJsonObject record(document.root_, "", errors);
    fields = ReadFields(record, errors);
  }
  if (fields.kind_ == RecordKind::Apply) {
    const gpJsonErrors fileErrors = ExtractFileErrors(errors);
    if (errors.empty()) {
      return ToApply(std::move(fields), fileErrors);
    }
  }
  if (!errors.empty()) {
    return gpMakeErrors(gpErrorCode::BadRecord, errors);
  }
  return ToCheckpoint(std::move(fields));
}

std::string
gpRenderApply(gpConfigVersion aBase,
              const gpApplyId& aApplyId,
              const gpConfiguration& aFile)
{
  json::object record;
  record["kind"] = "apply";
  record["version"] = aBase.value_ + 1;
  record["base"] = aBase.value_;
  record["apply_id"] = aApplyId.value_;
  record["file"] = gpConfigurationToJson(aFile);
  return json::serialize(record);
}

std::string
gpRenderCheckpoint(const gpVersionedConfiguration& aState, gpLogOffset aAsOf)
{
  json::object record;
  record["kind"] = "checkpoint";
  record["version"] = aState.version_.value_;
  record["apply_id"] = aState.applyId_.value_;
  record["as_of"] = aAsOf.value_;
  record["file"] = gpConfigurationToJson(aState.configuration_);
  return json::serialize(record);
}
