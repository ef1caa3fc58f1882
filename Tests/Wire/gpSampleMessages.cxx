#include "gpSampleMessages.h"

namespace {

const gpServiceKey kKey{ gpServiceName("pond-order"), gpSubmissionKey("k-1") };
const gpJobId kJob{ gpIncarnation(0x1234567890ABCDEFU), 42 };
const gpTaskId kTask{ kJob, gpTaskIndex(7) };
const gpDigest kDigest{ 0xF00DU, 0xBEEFU };
const gpClaimant kClaimant{ kJob, gpAddress("127.0.0.1:7001") };
const gpRosterEpoch kEpoch(19);
const gpAttempt kAttempt(3);
const gpMember kMember{ gpIncarnation(5),
                        gpAddress("127.0.0.1:7100"),
                        gpServiceName("pond-order"),
                        gpRegionName("gulf-south"),
                        gpDataCentreName("dc-1"),
                        gpRackName("rack-2"),
                        8 };

gpAnswer
CompleteAnswer()
{
  return gpComplete{ { { 200, "held" }, { 404, std::string("\0\x80", 2) } } };
}

gpAnswer
FailedAnswer()
{
  return gpFailure{ gpFailureCode::NotFound,
                    gpOutcome::Unknown,
                    { gpTaskIndex(1), gpTaskIndex(4) },
                    gpMillis(150) };
}

std::vector<gpMessage>
ClaimMessages()
{
  const gpClaimRecord record{
    kKey, kDigest, { kClaimant, kClaimant }, gpMillis(1000), FailedAnswer()
  };
  return {
    gpClaimRequest{ kKey, kDigest, kClaimant, kEpoch },
    gpClaimReply{
      kJob, gpClaimVerdict::Held, kEpoch, kClaimant, CompleteAnswer() },
    gpClaimWithdraw{ kKey, kJob },
    gpClaimOutcome{ kKey, kJob, FailedAnswer() },
    gpClaimQuery{ kKey, kJob },
    gpCopyRequest{ gpServiceName("fold-planner"), gpPartition(31), kEpoch },
    gpCopyReply{ gpServiceName("fold-planner"),
                 gpPartition(31),
                 kEpoch,
                 gpCopyVerdict::Behind,
                 { record, record },
                 false },
    gpAttachRequest{ kKey, kJob },
    gpAttachReply{ kJob, CompleteAnswer() },
  };
}

std::vector<gpMessage>
StartMessages()
{
  const gpAttemptId attempt{ kTask, kAttempt };
  return {
    gpStart{ kTask, kAttempt, kKey.key_, "/v1/hold", "body", gpMillis(900) },
    gpStartRefused{ kTask, kAttempt, gpRefusal::Cancelled, 2 },
    gpStartResult{ kTask,
                   kAttempt,
                   gpTaskEnd::Failed,
                   { 503, "overload" },
                   gpMicros(81234),
                   6 },
    gpResolve{ { attempt, attempt } },
    gpResolveReply{ { { attempt, gpAttemptState::Ended },
                      { attempt, gpAttemptState::Running } } },
    gpCancel{ { attempt } },
    gpSlotReport{ 8, 3, true },
  };
}

std::vector<gpMessage>
UpdateMessages()
{
  const gpRoster roster{ kEpoch,
                         { { kMember.guard_, kMember } },
                         { { gpServiceName("pond-order"), true },
                           { gpServiceName("fold-planner"), false } } };
  return { gpConfigurationUpdate{
             gpConfigVersion(4), gpApplyId("a-9"), gpLogOffset(77), "{}" },
           gpRosterUpdate{ roster },
           gpAnnounce{ kMember },
           gpUpdateRequest{ gpConfigVersion(41), gpRosterEpoch(7) } };
}

std::vector<gpMessage>
RunMessages()
{
  const gpRunId run{ "5c0e7a21d94b36f8.0.1.17", 1767773015591U };
  const gpResources needs{ 6200, 64, 1 };
  return {
    gpRunOrder{ "spec",
                needs,
                gpMillis(60),
                { run, { "other", 2 } },
                gpQueueName("hold"),
                true },
    gpRunCancel{ { run } },
    gpRunReport{ run, gpRunEnd::Outdated, gpMicros(81234) },
    gpRunsHeld{ { run, run } },
    gpTargetUpdate{
      gpServiceName("pond-order"),
      gpDataCentreName("dc-1"),
      { "a", "r1-3" },
      needs,
      true,
      { { "i-1",
          gpServiceName("pond-order"),
          7,
          gpCrashState::Confirmed,
          { { run, gpQueueName("hold"), true, true, gpMillis(0) },
            { run, gpQueueName("hold"), false, true, gpMillis(105) } },
          { { gpQueueName("hold"), 210 } } } } },
    gpCapacityReport{ needs, 42, 5, 1430 },
    gpEntryUpdate{
      { { gpAddress("10.0.0.1:7000"), gpDataCentreName("dc-1"), 250 },
        { gpAddress("10.0.0.2:7000"), {}, 0 } },
      { { "i-2",
          gpServiceName("pond-order"),
          8,
          gpCrashState::Refuted,
          { { run, gpQueueName("hold"), false, false, std::nullopt } },
          {} } },
      { { gpQueueName("hold"), gpServiceName("pond-order"), gpMillis(100) } },
      { { "5c0e7a21d94b36f8", gpMillis(0) },
        { "5c0e7a21d94b36f9", gpMillis(9999) } },
      { { "5c0e7a21d94b36fa", gpMillis(1) } } }
  };
}

} // namespace

std::vector<gpMessage>
gpSampleMessages()
{
  std::vector<gpMessage> all = ClaimMessages();
  for (const auto& family :
       { StartMessages(), UpdateMessages(), RunMessages() }) {
    all.insert(all.end(), family.begin(), family.end());
  }
  return all;
}

std::vector<gpMessage>
gpSparseMessages()
{
  return {
    gpClaimReply{},
    gpClaimOutcome{},
    gpCopyReply{ {}, {}, {}, {}, { gpClaimRecord{} }, true },
    gpAttachReply{},
    gpStart{},
    gpStartResult{},
    gpResolve{},
    gpResolveReply{},
    gpCancel{},
    gpSlotReport{},
    gpConfigurationUpdate{},
    gpRosterUpdate{},
    gpRunOrder{},
    gpRunCancel{},
    gpRunReport{},
    gpRunsHeld{},
    gpTargetUpdate{},
    gpCapacityReport{},
    gpEntryUpdate{},
  };
}
