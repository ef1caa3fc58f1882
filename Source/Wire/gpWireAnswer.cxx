#include "gpWireAnswer.h"

#include <utility>

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

static_assert(static_cast<int>(gpWire::Outcome::MAX) ==
              static_cast<int>(gpOutcome::Unknown));
static_assert(static_cast<int>(gpWire::FailureCode::MAX) ==
              static_cast<int>(gpFailureCode::NotFound));

namespace {

Offset<gpWire::Complete>
WriteComplete(FlatBufferBuilder& aBuilder, const gpComplete& aIn)
{
  const auto results = gpWriteTables(aBuilder, aIn.results_);
  return gpWire::CreateComplete(aBuilder, results);
}

Offset<gpWire::Failure>
WriteFailure(FlatBufferBuilder& aBuilder, const gpFailure& aIn)
{
  std::vector<std::uint32_t> tasks;
  for (const gpTaskIndex task : aIn.mayHaveRun_) {
    tasks.push_back(task.value_);
  }
  const auto mayHaveRun = aBuilder.CreateVector(tasks);
  gpWire::FailureBuilder failure(aBuilder);
  failure.add_code(static_cast<gpWire::FailureCode>(aIn.code_));
  failure.add_outcome(static_cast<gpWire::Outcome>(aIn.outcome_));
  failure.add_may_have_run(mayHaveRun);
  if (aIn.retryAfter_) {
    failure.add_retry_after_ms(aIn.retryAfter_->count());
  }
  return failure.Finish();
}

bool
ReadFailure(gpWireReader& aReader, const gpWire::Failure& aIn, gpFailure& aOut)
{
  if (aIn.retry_after_ms().has_value() &&
      !aReader.ReadDuration(*aIn.retry_after_ms(),
                            aOut.retryAfter_.emplace())) {
    return false;
  }
  return aReader.ReadEnum(aIn.code(), aOut.code_) &&
         aReader.ReadEnum(aIn.outcome(), aOut.outcome_) &&
         aReader.ReadElements(
           aIn.may_have_run(), aOut.mayHaveRun_, [](std::uint32_t aTask) {
             return gpTaskIndex(aTask);
           });
}

} // namespace

gpWire::JobId
gpToWire(const gpJobId& aId)
{
  return { aId.entry_.value_, aId.sequence_ };
}

gpWire::TaskId
gpToWire(const gpTaskId& aId)
{
  return { gpToWire(aId.job_), aId.task_.value_ };
}

gpWire::Digest
gpToWire(const gpDigest& aDigest)
{
  return { aDigest.high_, aDigest.low_ };
}

gpJobId
gpFromWire(const gpWire::JobId& aId)
{
  return { gpIncarnation(aId.entry()), aId.sequence() };
}

gpTaskId
gpFromWire(const gpWire::TaskId& aId)
{
  return { gpFromWire(aId.job()), gpTaskIndex(aId.task()) };
}

gpDigest
gpFromWire(const gpWire::Digest& aDigest)
{
  return { aDigest.high(), aDigest.low() };
}

Offset<gpWire::ServiceKey>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpServiceKey& aIn)
{
  const auto service = aBuilder.CreateString(aIn.service_.value_);
  const auto key = aBuilder.CreateString(aIn.key_.value_);
  return gpWire::CreateServiceKey(aBuilder, service, key);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ServiceKey* aIn,
           gpServiceKey& aOut)
{
  return aReader.Read(aIn->service(), aOut.service_) &&
         aReader.Read(aIn->key(), aOut.key_);
}

Offset<gpWire::TaskResult>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpTaskResult& aIn)
{
  const auto body = aBuilder.CreateString(aIn.body_);
  return gpWire::CreateTaskResult(aBuilder, aIn.status_, body);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::TaskResult* aIn,
           gpTaskResult& aOut)
{
  aOut.status_ = aIn->status();
  return aReader.Read(aIn->body(), aOut.body_);
}

gpWireAnswer
gpWriteWire(FlatBufferBuilder& aBuilder, const gpAnswer& aIn)
{
  if (const auto* complete = std::get_if<gpComplete>(&aIn)) {
    return { gpWire::Answer::Complete,
             WriteComplete(aBuilder, *complete).Union() };
  }
  return { gpWire::Answer::Failure,
           WriteFailure(aBuilder, std::get<gpFailure>(aIn)).Union() };
}

gpWireAnswer
gpWriteWire(FlatBufferBuilder& aBuilder, const std::optional<gpAnswer>& aIn)
{
  return aIn ? gpWriteWire(aBuilder, *aIn) : gpWireAnswer{};
}

bool
gpReadWire(gpWireReader& aReader,
           gpWire::Answer aType,
           const void* aIn,
           gpAnswer& aOut)
{
  if (aIn == nullptr) {
    return aReader.Fail("answer missing");
  }
  if (aType == gpWire::Answer::Complete) {
    const auto* complete = static_cast<const gpWire::Complete*>(aIn);
    return aReader.ReadTables(complete->results(),
                              aOut.emplace<gpComplete>().results_);
  }
  if (aType == gpWire::Answer::Failure) {
    const auto* failure = static_cast<const gpWire::Failure*>(aIn);
    return ReadFailure(aReader, *failure, aOut.emplace<gpFailure>());
  }
  return aReader.Fail("answer of unknown type");
}

bool
gpReadWire(gpWireReader& aReader,
           gpWire::Answer aType,
           const void* aIn,
           std::optional<gpAnswer>& aOut)
{
  if (aType == gpWire::Answer::NONE && aIn == nullptr) {
    return true;
  }
  return gpReadWire(aReader, aType, aIn, aOut.emplace());
}
