#include "gpWireClaims.h"

#include "gpWireAnswer.h"

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

static_assert(static_cast<int>(gpWire::ClaimVerdict::MAX) ==
              static_cast<int>(gpClaimVerdict::Abstains));
static_assert(static_cast<int>(gpWire::CopyVerdict::MAX) ==
              static_cast<int>(gpCopyVerdict::Behind));

// Tables that are nested in messages. Not in the unnamed namespace, so that the
// templates of gpWireAnswer.h and gpWireReader.h find them like the other
// overloads.

Offset<gpWire::Claimant>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpClaimant& aIn)
{
  const gpWire::JobId job = gpToWire(aIn.job_);
  const auto address = aBuilder.CreateString(aIn.address_.value_);
  return gpWire::CreateClaimant(aBuilder, &job, address);
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::Claimant* aIn, gpClaimant& aOut)
{
  aOut.job_ = gpFromWire(*aIn->job());
  return aReader.Read(aIn->address(), aOut.address_);
}

Offset<gpWire::ClaimRecord>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpClaimRecord& aIn)
{
  const auto key = gpWriteWire(aBuilder, aIn.key_);
  const gpWire::Digest digest = gpToWire(aIn.digest_);
  const auto claimants = gpWriteTables(aBuilder, aIn.claimants_);
  const gpWireAnswer outcome = gpWriteWire(aBuilder, aIn.outcome_);
  return gpWire::CreateClaimRecord(aBuilder,
                                   key,
                                   &digest,
                                   claimants,
                                   aIn.remaining_.count(),
                                   outcome.type_,
                                   outcome.value_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimRecord* aIn,
           gpClaimRecord& aOut)
{
  aOut.digest_ = gpFromWire(*aIn->digest());
  return gpReadWire(aReader, aIn->key(), aOut.key_) &&
         aReader.ReadTables(aIn->claimants(), aOut.claimants_) &&
         aReader.ReadDuration(aIn->remaining_ms(), aOut.remaining_) &&
         gpReadWire(
           aReader, aIn->outcome_type(), aIn->outcome(), aOut.outcome_);
}

Offset<gpWire::ClaimRequest>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpClaimRequest& aIn)
{
  const auto key = gpWriteWire(aBuilder, aIn.key_);
  const gpWire::Digest digest = gpToWire(aIn.digest_);
  const auto claimant = gpWriteWire(aBuilder, aIn.claimant_);
  return gpWire::CreateClaimRequest(
    aBuilder, key, &digest, claimant, aIn.epoch_.value_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimRequest* aIn,
           gpClaimRequest& aOut)
{
  aOut.digest_ = gpFromWire(*aIn->digest());
  aOut.epoch_ = gpRosterEpoch(aIn->epoch());
  return gpReadWire(aReader, aIn->key(), aOut.key_) &&
         gpReadWire(aReader, aIn->claimant(), aOut.claimant_);
}

Offset<gpWire::ClaimReply>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpClaimReply& aIn)
{
  const gpWire::JobId job = gpToWire(aIn.job_);
  Offset<gpWire::Claimant> claimant;
  if (aIn.claimant_) {
    claimant = gpWriteWire(aBuilder, *aIn.claimant_);
  }
  const gpWireAnswer outcome = gpWriteWire(aBuilder, aIn.outcome_);
  return gpWire::CreateClaimReply(
    aBuilder,
    &job,
    static_cast<gpWire::ClaimVerdict>(aIn.verdict_),
    aIn.epoch_.value_,
    claimant,
    outcome.type_,
    outcome.value_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimReply* aIn,
           gpClaimReply& aOut)
{
  aOut.job_ = gpFromWire(*aIn->job());
  aOut.epoch_ = gpRosterEpoch(aIn->epoch());
  if (aIn->claimant() != nullptr &&
      !gpReadWire(aReader, aIn->claimant(), aOut.claimant_.emplace())) {
    return false;
  }
  return aReader.ReadEnum(aIn->verdict(), aOut.verdict_) &&
         gpReadWire(
           aReader, aIn->outcome_type(), aIn->outcome(), aOut.outcome_);
}

Offset<gpWire::ClaimWithdraw>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpClaimWithdraw& aIn)
{
  const auto key = gpWriteWire(aBuilder, aIn.key_);
  const gpWire::JobId job = gpToWire(aIn.job_);
  return gpWire::CreateClaimWithdraw(aBuilder, key, &job);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimWithdraw* aIn,
           gpClaimWithdraw& aOut)
{
  aOut.job_ = gpFromWire(*aIn->job());
  return gpReadWire(aReader, aIn->key(), aOut.key_);
}

Offset<gpWire::ClaimOutcome>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpClaimOutcome& aIn)
{
  const auto key = gpWriteWire(aBuilder, aIn.key_);
  const gpWire::JobId job = gpToWire(aIn.job_);
  const gpWireAnswer answer = gpWriteWire(aBuilder, aIn.answer_);
  return gpWire::CreateClaimOutcome(
    aBuilder, key, &job, answer.type_, answer.value_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimOutcome* aIn,
           gpClaimOutcome& aOut)
{
  aOut.job_ = gpFromWire(*aIn->job());
  return gpReadWire(aReader, aIn->key(), aOut.key_) &&
         gpReadWire(aReader, aIn->answer_type(), aIn->answer(), aOut.answer_);
}

Offset<gpWire::ClaimQuery>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpClaimQuery& aIn)
{
  const auto key = gpWriteWire(aBuilder, aIn.key_);
  const gpWire::JobId query = gpToWire(aIn.query_);
  return gpWire::CreateClaimQuery(aBuilder, key, &query);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimQuery* aIn,
           gpClaimQuery& aOut)
{
  aOut.query_ = gpFromWire(*aIn->query());
  return gpReadWire(aReader, aIn->key(), aOut.key_);
}

Offset<gpWire::CopyRequest>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpCopyRequest& aIn)
{
  const auto service = aBuilder.CreateString(aIn.service_.value_);
  return gpWire::CreateCopyRequest(
    aBuilder, service, aIn.partition_.value_, aIn.epoch_.value_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::CopyRequest* aIn,
           gpCopyRequest& aOut)
{
  aOut.partition_ = gpPartition(aIn->partition());
  aOut.epoch_ = gpRosterEpoch(aIn->epoch());
  return aReader.Read(aIn->service(), aOut.service_);
}

Offset<gpWire::CopyReply>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpCopyReply& aIn)
{
  const auto service = aBuilder.CreateString(aIn.service_.value_);
  const auto records = gpWriteTables(aBuilder, aIn.records_);
  return gpWire::CreateCopyReply(aBuilder,
                                 service,
                                 aIn.partition_.value_,
                                 aIn.epoch_.value_,
                                 static_cast<gpWire::CopyVerdict>(aIn.verdict_),
                                 records,
                                 aIn.last_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::CopyReply* aIn,
           gpCopyReply& aOut)
{
  aOut.partition_ = gpPartition(aIn->partition());
  aOut.epoch_ = gpRosterEpoch(aIn->epoch());
  aOut.last_ = aIn->last();
  return aReader.Read(aIn->service(), aOut.service_) &&
         aReader.ReadEnum(aIn->verdict(), aOut.verdict_) &&
         aReader.ReadTables(aIn->records(), aOut.records_);
}

Offset<gpWire::AttachRequest>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpAttachRequest& aIn)
{
  const auto key = gpWriteWire(aBuilder, aIn.key_);
  const gpWire::JobId job = gpToWire(aIn.job_);
  return gpWire::CreateAttachRequest(aBuilder, key, &job);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::AttachRequest* aIn,
           gpAttachRequest& aOut)
{
  aOut.job_ = gpFromWire(*aIn->job());
  return gpReadWire(aReader, aIn->key(), aOut.key_);
}

Offset<gpWire::AttachReply>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpAttachReply& aIn)
{
  const gpWire::JobId job = gpToWire(aIn.job_);
  const gpWireAnswer answer = gpWriteWire(aBuilder, aIn.answer_);
  return gpWire::CreateAttachReply(aBuilder, &job, answer.type_, answer.value_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::AttachReply* aIn,
           gpAttachReply& aOut)
{
  aOut.job_ = gpFromWire(*aIn->job());
  return gpReadWire(aReader, aIn->answer_type(), aIn->answer(), aOut.answer_);
}
