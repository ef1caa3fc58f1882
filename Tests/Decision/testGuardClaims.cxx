#define BOOST_TEST_MODULE gpGuardDecisions
#include <boost/test/unit_test.hpp>

#include <optional>

#include "gpGuardClaims.h"
#include "gpLinkTable.h"

namespace {

const gpServiceName kService("service");
constexpr gpMillis kRetention{ 60000 };
constexpr gpMillis kLogSilence{ 5000 };
const gpTime kStart{ gpMillis(1000) };
const gpLinkId kLink(1);

gpMember
MakeMember(std::uint64_t aNumber)
{
  gpMember member;
  member.guard_ = gpIncarnation(aNumber);
  member.address_ = gpAddress("guard-" + std::to_string(aNumber));
  member.service_ = kService;
  return member;
}

gpRoster
MakeRoster(std::uint64_t aEpoch, std::uint64_t aMembers)
{
  gpRoster roster;
  roster.epoch_ = gpRosterEpoch(aEpoch);
  roster.claimableServices_[kService] = aMembers >= 2;
  for (std::uint64_t number = 1; number <= aMembers; ++number) {
    roster.members_.emplace(gpIncarnation(number), MakeMember(number));
  }
  return roster;
}

/** The claims of a guard that has joined a service as its last member. The
 * guard's number is also the number of members.
 */
struct Fixture
{
  explicit Fixture(std::uint64_t aSelf)
    : claims_(gpIncarnation(aSelf), links_)
  {
    claims_.SetService(kService);
    claims_.SetRetention(kRetention, kLogSilence);
    for (std::uint64_t members = 1; members <= aSelf; ++members) {
      claims_.OnRoster(MakeRoster(members, members), true, kStart, out_);
    }
    claims_.OnLogContact(kStart);
    epoch_ = gpRosterEpoch(aSelf);
  }

  gpClaimVerdict Ask(const std::string& aKey, gpTime aNow)
  {
    gpClaimRequest request;
    request.key_ = { kService, gpSubmissionKey(aKey) };
    request.claimant_.job_ = { gpIncarnation(99), ++lastJob_ };
    request.epoch_ = epoch_;
    out_.Take();
    claims_.OnClaim(kLink, request, aNow, out_);
    for (const gpEffect& effect : out_.Take()) {
      if (const auto* send = std::get_if<gpSend>(&effect)) {
        return std::get<gpClaimReply>(send->message_).verdict_;
      }
    }
    BOOST_FAIL("no reply to a claim");
    return gpClaimVerdict::Abstains;
  }

  gpLinkTable links_;
  gpGuardClaims claims_;
  gpEffects out_;
  gpRosterEpoch epoch_;
  std::uint64_t lastJob_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(KeyIsGrantedToItsFirstClaimantOnly)
{
  Fixture guard(1);
  BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::Granted));
  BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::Held));
  guard.claims_.OnWithdraw(
    { { kService, gpSubmissionKey("key") }, { gpIncarnation(99), 1 } },
    guard.out_);
  BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::Granted));
}

BOOST_AUTO_TEST_CASE(KeyIsFreeAgainAfterTheRetention)
{
  Fixture guard(1);
  BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::Granted));
  const gpTime end = kStart + kRetention;
  guard.claims_.OnLogContact(end);
  guard.claims_.OnTime(end - gpMillis(1), guard.out_);
  BOOST_TEST((guard.Ask("key", end) == gpClaimVerdict::Held));
  guard.claims_.OnTime(end, guard.out_);
  BOOST_TEST((guard.Ask("key", end) == gpClaimVerdict::Granted));
}

BOOST_AUTO_TEST_CASE(ReplicaWithoutLogContactAbstains)
{
  Fixture guard(1);
  const gpTime end = kStart + kLogSilence;
  BOOST_TEST((guard.Ask("in time", end) == gpClaimVerdict::Granted));
  BOOST_TEST(
    (guard.Ask("late", end + gpMillis(1)) == gpClaimVerdict::Abstains));
  guard.claims_.OnLogContact(end + gpMillis(2));
  BOOST_TEST((guard.Ask("late", end + gpMillis(3)) == gpClaimVerdict::Granted));
}

BOOST_AUTO_TEST_CASE(NewReplicaWithoutCopiesAbstainsForRetentionAndLogSilence)
{
  Fixture guard(3);
  BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::Abstains));
  const gpTime end = kStart + kRetention + kLogSilence;
  guard.claims_.OnLogContact(end);
  guard.claims_.OnTime(end - gpMillis(1), guard.out_);
  BOOST_TEST((guard.Ask("key", end) == gpClaimVerdict::Abstains));
  guard.claims_.OnTime(end, guard.out_);
  BOOST_TEST((guard.Ask("key", end) == gpClaimVerdict::Granted));
}

BOOST_AUTO_TEST_CASE(NewReplicaGrantsOnceItHasCopiedTwoOthers)
{
  Fixture guard(3);
  const gpPartition partition =
    gpPartitionOf({ kService, gpSubmissionKey("key") });
  gpCopyReply reply;
  reply.service_ = kService;
  reply.partition_ = partition;
  reply.epoch_ = gpRosterEpoch(3);
  reply.verdict_ = gpCopyVerdict::Copied;
  for (std::uint64_t source = 1; source <= 2; ++source) {
    BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::Abstains));
    gpPeer peer;
    peer.role_ = gpRole::Guard;
    peer.incarnation_ = gpIncarnation(source);
    guard.links_.Open(gpLinkId(source), peer);
    guard.claims_.OnCopyReply(gpLinkId(source), reply, kStart, guard.out_);
  }
  BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::Granted));
}

BOOST_AUTO_TEST_CASE(ReplicaAbstainsAfterMissedEpochs)
{
  Fixture guard(1);
  guard.claims_.OnRoster(MakeRoster(9, 1), false, kStart, guard.out_);
  guard.epoch_ = gpRosterEpoch(9);
  BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::Abstains));
}

BOOST_AUTO_TEST_CASE(VerdictsAreForOneEpochOnly)
{
  Fixture guard(1);
  guard.epoch_ = gpRosterEpoch(2);
  BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::BehindYou));
  guard.claims_.OnRoster(MakeRoster(3, 1), true, kStart, guard.out_);
  BOOST_TEST((guard.Ask("key", kStart) == gpClaimVerdict::StaleEpoch));
}
