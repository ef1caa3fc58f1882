#include "gpWireUpdates.h"

#include <utility>
#include <vector>

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

namespace {

Offset<gpWire::Member>
WriteMember(FlatBufferBuilder& aBuilder, const gpMember& aIn)
{
  const auto address = aBuilder.CreateString(aIn.address_.value_);
  const auto service = aBuilder.CreateString(aIn.service_.value_);
  const auto region = aBuilder.CreateString(aIn.region_.value_);
  const auto dataCentre = aBuilder.CreateString(aIn.dataCentre_.value_);
  const auto rack = aBuilder.CreateString(aIn.rack_.value_);
  return gpWire::CreateMember(aBuilder,
                              aIn.guard_.value_,
                              address,
                              service,
                              region,
                              dataCentre,
                              rack,
                              aIn.slots_);
}

bool
ReadMember(gpWireReader& aReader, const gpWire::Member& aIn, gpMember& aOut)
{
  aOut.guard_ = gpIncarnation(aIn.guard());
  aOut.slots_ = aIn.slots();
  if (aOut.slots_ == 0) {
    return aReader.Fail("member without slots");
  }
  return aReader.Read(aIn.address(), aOut.address_) &&
         aReader.Read(aIn.service(), aOut.service_) &&
         aReader.Read(aIn.region(), aOut.region_) &&
         aReader.Read(aIn.data_centre(), aOut.dataCentre_) &&
         aReader.Read(aIn.rack(), aOut.rack_);
}

bool
ReadMembers(gpWireReader& aReader,
            const gpWire::RosterNews& aIn,
            gpRoster& aOut)
{
  for (const gpWire::Member* member : *aIn.members()) {
    gpMember read;
    if (!ReadMember(aReader, *member, read)) {
      return false;
    }
    const gpIncarnation guard = read.guard_;
    if (!aOut.members_.emplace(guard, std::move(read)).second) {
      return aReader.Fail("member listed twice");
    }
  }
  return true;
}

bool
ReadFormed(gpWireReader& aReader, const gpWire::RosterNews& aIn, gpRoster& aOut)
{
  for (const gpWire::FormedService* formed : *aIn.formed()) {
    gpServiceName service;
    if (!aReader.Read(formed->service(), service)) {
      return false;
    }
    if (!aOut.claimableServices_.emplace(std::move(service), formed->formed())
           .second) {
      return aReader.Fail("service listed twice");
    }
  }
  return true;
}

} // namespace

Offset<gpWire::ConfigurationNews>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpConfigurationUpdate& aIn)
{
  const auto applyId = aBuilder.CreateString(aIn.applyId_.value_);
  const auto text = aBuilder.CreateString(aIn.text_);
  return gpWire::CreateConfigurationNews(
    aBuilder, aIn.version_.value_, applyId, aIn.asOf_.value_, text);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ConfigurationNews* aIn,
           gpConfigurationUpdate& aOut)
{
  aOut.version_ = gpConfigVersion(aIn->version());
  aOut.asOf_ = gpLogOffset(aIn->as_of());
  return aReader.Read(aIn->apply_id(), aOut.applyId_) &&
         aReader.Read(aIn->text(), aOut.text_);
}

Offset<gpWire::RosterNews>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpRosterUpdate& aIn)
{
  std::vector<Offset<gpWire::Member>> members;
  for (const auto& [incarnation, member] : aIn.roster_.members_) {
    members.push_back(WriteMember(aBuilder, member));
  }
  std::vector<Offset<gpWire::FormedService>> formed;
  for (const auto& [service, isFormed] : aIn.roster_.claimableServices_) {
    const auto name = aBuilder.CreateString(service.value_);
    formed.push_back(gpWire::CreateFormedService(aBuilder, name, isFormed));
  }
  const auto memberVector = aBuilder.CreateVector(members);
  const auto formedVector = aBuilder.CreateVector(formed);
  return gpWire::CreateRosterNews(
    aBuilder, aIn.roster_.epoch_.value_, memberVector, formedVector);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RosterNews* aIn,
           gpRosterUpdate& aOut)
{
  aOut.roster_.epoch_ = gpRosterEpoch(aIn->epoch());
  return ReadMembers(aReader, *aIn, aOut.roster_) &&
         ReadFormed(aReader, *aIn, aOut.roster_);
}

Offset<gpWire::NewsRequest>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpUpdateRequest& aIn)
{
  return gpWire::CreateNewsRequest(
    aBuilder, aIn.version_.value_, aIn.epoch_.value_);
}

bool
gpReadWire(gpWireReader&, const gpWire::NewsRequest* aIn, gpUpdateRequest& aOut)
{
  aOut.version_ = gpConfigVersion(aIn->version());
  aOut.epoch_ = gpRosterEpoch(aIn->epoch());
  return true;
}

Offset<gpWire::Announce>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpAnnounce& aIn)
{
  const auto member = WriteMember(aBuilder, aIn.member_);
  return gpWire::CreateAnnounce(aBuilder, member);
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::Announce* aIn, gpAnnounce& aOut)
{
  return ReadMember(aReader, *aIn->member(), aOut.member_);
}
