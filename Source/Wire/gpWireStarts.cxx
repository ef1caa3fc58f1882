#include "gpWireStarts.h"

#include "gpWireAnswer.h"

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

static_assert(static_cast<int>(gpWire::Refusal::MAX) ==
              static_cast<int>(gpRefusal::Cancelled));
static_assert(static_cast<int>(gpWire::TaskEnd::MAX) ==
              static_cast<int>(gpTaskEnd::Broken));
static_assert(static_cast<int>(gpWire::AttemptState::MAX) ==
              static_cast<int>(gpAttemptState::Ended));

namespace {

gpWire::AttemptId
ToWire(const gpAttemptId& aId)
{
  return { gpToWire(aId.task_), aId.attempt_.value_ };
}

gpAttemptId
FromWire(const gpWire::AttemptId* aId)
{
  return { gpFromWire(aId->task()), gpAttempt(aId->attempt()) };
}

auto
WriteAttempts(FlatBufferBuilder& aBuilder,
              const std::vector<gpAttemptId>& aAttempts)
{
  std::vector<gpWire::AttemptId> attempts;
  attempts.reserve(aAttempts.size());
  for (const gpAttemptId& attempt : aAttempts) {
    attempts.push_back(ToWire(attempt));
  }
  return aBuilder.CreateVectorOfStructs(attempts);
}

} // namespace

// A table that is nested in a message. Not in the unnamed namespace, so that
// the templates of gpWireAnswer.h and gpWireReader.h find it like the other
// overloads.

Offset<gpWire::Resolution>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpResolution& aIn)
{
  const gpWire::AttemptId attempt = ToWire(aIn.attempt_);
  return gpWire::CreateResolution(
    aBuilder, &attempt, static_cast<gpWire::AttemptState>(aIn.state_));
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::Resolution* aIn,
           gpResolution& aOut)
{
  aOut.attempt_ = FromWire(aIn->attempt());
  return aReader.ReadEnum(aIn->state(), aOut.state_);
}

Offset<gpWire::Start>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpStart& aIn)
{
  const gpWire::TaskId task = gpToWire(aIn.task_);
  Offset<flatbuffers::String> key;
  if (aIn.key_) {
    key = aBuilder.CreateString(aIn.key_->value_);
  }
  const auto path = aBuilder.CreateString(aIn.path_);
  const auto body = aBuilder.CreateString(aIn.body_);
  return gpWire::CreateStart(aBuilder,
                             &task,
                             aIn.attempt_.value_,
                             key,
                             path,
                             body,
                             aIn.remaining_.count());
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::Start* aIn, gpStart& aOut)
{
  aOut.task_ = gpFromWire(*aIn->task());
  aOut.attempt_ = gpAttempt(aIn->attempt());
  if (aIn->key() != nullptr && !aReader.Read(aIn->key(), aOut.key_.emplace())) {
    return false;
  }
  return aReader.Read(aIn->path(), aOut.path_) &&
         aReader.Read(aIn->body(), aOut.body_) &&
         aReader.ReadDuration(aIn->remaining_ms(), aOut.remaining_);
}

Offset<gpWire::StartRefused>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpStartRefused& aIn)
{
  const gpWire::TaskId task = gpToWire(aIn.task_);
  return gpWire::CreateStartRefused(aBuilder,
                                    &task,
                                    aIn.attempt_.value_,
                                    static_cast<gpWire::Refusal>(aIn.reason_),
                                    aIn.freeSlots_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::StartRefused* aIn,
           gpStartRefused& aOut)
{
  aOut.task_ = gpFromWire(*aIn->task());
  aOut.attempt_ = gpAttempt(aIn->attempt());
  aOut.freeSlots_ = aIn->free_slots();
  return aReader.ReadEnum(aIn->reason(), aOut.reason_);
}

Offset<gpWire::StartResult>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpStartResult& aIn)
{
  const gpWire::TaskId task = gpToWire(aIn.task_);
  const auto result = gpWriteWire(aBuilder, aIn.result_);
  return gpWire::CreateStartResult(aBuilder,
                                   &task,
                                   aIn.attempt_.value_,
                                   static_cast<gpWire::TaskEnd>(aIn.end_),
                                   result,
                                   aIn.runTime_.count(),
                                   aIn.freeSlots_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::StartResult* aIn,
           gpStartResult& aOut)
{
  aOut.task_ = gpFromWire(*aIn->task());
  aOut.attempt_ = gpAttempt(aIn->attempt());
  aOut.freeSlots_ = aIn->free_slots();
  return aReader.ReadEnum(aIn->end(), aOut.end_) &&
         gpReadWire(aReader, aIn->result(), aOut.result_) &&
         aReader.ReadDuration(aIn->run_time_us(), aOut.runTime_);
}

Offset<gpWire::Resolve>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpResolve& aIn)
{
  const auto attempts = WriteAttempts(aBuilder, aIn.attempts_);
  return gpWire::CreateResolve(aBuilder, attempts);
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::Resolve* aIn, gpResolve& aOut)
{
  return aReader.ReadElements(aIn->attempts(), aOut.attempts_, FromWire);
}

Offset<gpWire::ResolveReply>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpResolveReply& aIn)
{
  const auto resolutions = gpWriteTables(aBuilder, aIn.resolutions_);
  return gpWire::CreateResolveReply(aBuilder, resolutions);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ResolveReply* aIn,
           gpResolveReply& aOut)
{
  return aReader.ReadTables(aIn->resolutions(), aOut.resolutions_);
}

Offset<gpWire::Cancel>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpCancel& aIn)
{
  const auto attempts = WriteAttempts(aBuilder, aIn.attempts_);
  return gpWire::CreateCancel(aBuilder, attempts);
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::Cancel* aIn, gpCancel& aOut)
{
  return aReader.ReadElements(aIn->attempts(), aOut.attempts_, FromWire);
}

Offset<gpWire::SlotReport>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpSlotReport& aIn)
{
  return gpWire::CreateSlotReport(
    aBuilder, aIn.slots_, aIn.freeSlots_, aIn.leaving_);
}

bool
gpReadWire(gpWireReader& /*aReader*/,
           const gpWire::SlotReport* aIn,
           gpSlotReport& aOut)
{
  aOut.slots_ = aIn->slots();
  aOut.freeSlots_ = aIn->free_slots();
  aOut.leaving_ = aIn->leaving();
  return true;
}
