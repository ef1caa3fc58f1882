#include "gpRosterRecord.h"

#include "gpJsonReader.h"
#include "gpTimelineEvent.h"

namespace {

namespace json = boost::json;

constexpr gpNumberRange kSlots = { 1, 1000000 };

enum class RecordKind
{
  None,
  Join,
  Remove,
  Checkpoint,
};

constexpr std::array<gpChoice<RecordKind>, 3> kKinds = { {
  { "join", RecordKind::Join },
  { "remove", RecordKind::Remove },
  { "checkpoint", RecordKind::Checkpoint },
} };

gpIncarnation
ToIncarnation(std::string_view aText)
{
  return gpIncarnation(gpParseHex16(aText).value_or(0));
}

gpMember
ReadMember(gpJsonObject& aObject)
{
  constexpr auto kRequired = gpPresence::Required;
  gpMember member;
  std::string guard;
  aObject.Text("guard", guard, kIncarnationRule, kRequired);
  member.guard_ = ToIncarnation(guard);
  aObject.Text("address", member.address_, kAddressRule, kRequired);
  aObject.Text("service", member.service_, kNameRule, kRequired);
  aObject.Text("region", member.region_, kNameRule, kRequired);
  aObject.Text("data_centre", member.dataCentre_, kNameRule, kRequired);
  aObject.Text("rack", member.rack_, kNameRule, kRequired);
  aObject.Number("slots", member.slots_, kSlots, kRequired);
  aObject.Finish();
  return member;
}

gpRosterRecord
ReadJoin(gpJsonObject& aRecord)
{
  gpJoinRecord join;
  if (!aRecord.Has("member")) {
    aRecord.AddError("member", "an object; the field is missing");
  }
  gpJsonObject member = aRecord.Object("member");
  join.member_ = ReadMember(member);
  return gpRosterChange(std::move(join));
}

gpRosterRecord
ReadRemove(gpJsonObject& aRecord)
{
  gpRemoveRecord remove;
  for (const gpJsonText& guard :
       aRecord.Texts("guards", kIncarnationRule, gpPresence::Required)) {
    remove.guards_.push_back(ToIncarnation(guard.text_));
  }
  return gpRosterChange(std::move(remove));
}

gpRosterRecord
ReadCheckpoint(gpJsonObject& aRecord)
{
  constexpr auto kRequired = gpPresence::Required;
  gpRosterCheckpoint checkpoint;
  gpRoster& roster = checkpoint.state_;
  aRecord.Number("as_of", checkpoint.asOf_, kRequired);
  aRecord.Number("epoch", roster.epoch_, kRequired);
  if (roster.epoch_.value_ > checkpoint.asOf_.value_ + 1) {
    aRecord.AddError("epoch", "at most as_of + 1");
  }
  const auto readMember = [&](gpJsonObject& aObject) {
    gpMember member = ReadMember(aObject);
    if (!roster.members_.emplace(member.guard_, std::move(member)).second) {
      aObject.AddError("guard", "each guard once; this one is a duplicate");
    }
  };
  aRecord.Objects("members", readMember, kRequired);
  for (const gpJsonText& service :
       aRecord.Texts("formed", kNameRule, kRequired)) {
    roster.claimableServices_[gpServiceName(service.text_)] = true;
  }
  return checkpoint;
}

// For a record whose kind is missing or unknown. An unknown kind has already
// added an error.
gpRosterRecord
ReadUnknownKind(gpJsonObject& aRecord)
{
  if (!aRecord.Has("kind")) {
    aRecord.AddError("kind", "the kind of the record; the field is missing");
  }
  return {};
}

// The functions that read the fields of a record, by RecordKind.
constexpr std::array<gpRosterRecord (*)(gpJsonObject&), 4> kReaders = {
  ReadUnknownKind,
  ReadJoin,
  ReadRemove,
  ReadCheckpoint,
};

json::object
ToJson(const gpMember& aMember)
{
  json::object object;
  object["guard"] = gpIncarnationText(aMember.guard_);
  object["address"] = aMember.address_.value_;
  object["service"] = aMember.service_.value_;
  object["region"] = aMember.region_.value_;
  object["data_centre"] = aMember.dataCentre_.value_;
  object["rack"] = aMember.rack_.value_;
  object["slots"] = aMember.slots_;
  return object;
}

} // namespace

absl::StatusOr<gpRosterRecord>
gpParseRosterRecord(const std::string& aData)
{
  gpJsonDocument document = gpJsonDocument::Parse(aData);
  gpJsonErrors errors = std::move(document.errors_);
  gpRosterRecord result;
  if (document.parsed_) {
    gpJsonObject record(document.root_, "", errors);
    RecordKind kind = RecordKind::None;
    record.Choice("kind", kind, kKinds);
    result = kReaders.at(static_cast<std::size_t>(kind))(record);
    record.Finish();
  }
  if (!errors.empty()) {
    return gpMakeErrors(gpErrorCode::BadRecord, errors);
  }
  return result;
}

std::string
gpRenderJoin(const gpMember& aMember)
{
  json::object record;
  record["kind"] = "join";
  record["member"] = ToJson(aMember);
  return json::serialize(record);
}

std::string
gpRenderRemove(const std::vector<gpIncarnation>& aGuards)
{
  json::array guards;
  for (const gpIncarnation guard : aGuards) {
    guards.emplace_back(gpIncarnationText(guard));
  }
  json::object record;
  record["kind"] = "remove";
  record["guards"] = std::move(guards);
  return json::serialize(record);
}

std::string
gpRenderCheckpoint(const gpRoster& aRoster, gpLogOffset aAsOf)
{
  json::array members;
  for (const auto& [guard, member] : aRoster.members_) {
    members.push_back(ToJson(member));
  }
  json::array formed;
  for (const auto& [service, isFormed] : aRoster.claimableServices_) {
    if (isFormed) {
      formed.emplace_back(service.value_);
    }
  }
  json::object record;
  record["kind"] = "checkpoint";
  record["as_of"] = aAsOf.value_;
  record["epoch"] = aRoster.epoch_.value_;
  record["members"] = std::move(members);
  record["formed"] = std::move(formed);
  return json::serialize(record);
}
