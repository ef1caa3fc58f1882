#include <boost/test/unit_test.hpp>

#include "gpGuardStarts.h"
#include "gpLinkTable.h"

namespace {

const gpTime kStart{ gpMillis(1000) };
const gpLinkId kLink(1);
const gpIncarnation kEntry(99);

gpAttemptId
MakeAttempt(std::uint32_t aTask, std::uint32_t aAttempt = 1)
{
  return { { { kEntry, 1 }, gpTaskIndex(aTask) }, gpAttempt(aAttempt) };
}

/** The starts of a guard whose target has one slot, with a link to one entry.
 */
struct Fixture
{
  Fixture()
    : starts_(links_)
  {
    gpPeer peer;
    peer.incarnation_ = kEntry;
    links_.Open(kLink, peer);
    starts_.OnAnnounced({ gpServiceName("s"), gpAddress("target"), 1 }, out_);
    out_.Take();
  }

  void Start(const gpAttemptId& aAttempt)
  {
    gpStart start;
    start.task_ = aAttempt.task_;
    start.attempt_ = aAttempt.attempt_;
    start.remaining_ = gpMillis(1000);
    starts_.OnStart(kLink, start, kStart, out_);
  }

  /// Tasks for which the target was called since the last call of this method.
  /// Also sets refusals_ to the refusals sent since then.
  std::vector<std::uint32_t> TakeCalls()
  {
    std::vector<std::uint32_t> calls;
    refusals_.clear();
    for (const gpEffect& effect : out_.Take()) {
      if (const auto* call = std::get_if<gpCallTarget>(&effect)) {
        calls.push_back(call->attempt_.task_.task_.value_);
      } else if (const auto* send = std::get_if<gpSend>(&effect)) {
        const auto* refused = std::get_if<gpStartRefused>(&send->message_);
        if (refused != nullptr) {
          refusals_.push_back(refused->reason_);
        }
      }
    }
    return calls;
  }

  void Reply(const gpAttemptId& aAttempt, gpTime aNow)
  {
    gpTargetReplied reply;
    reply.attempt_ = aAttempt;
    reply.sent_ = true;
    reply.response_ = gpTaskResult{ 200, "" };
    starts_.OnReplied(reply, aNow, out_);
  }

  gpLinkTable links_;
  gpGuardStarts starts_;
  gpEffects out_;
  std::vector<gpRefusal> refusals_;
};

using Tasks = std::vector<std::uint32_t>;
using Refusals = std::vector<gpRefusal>;

} // namespace

BOOST_AUTO_TEST_CASE(TaskIsStartedOnceDespiteRepeatedStarts)
{
  Fixture guard;
  guard.Start(MakeAttempt(0));
  guard.Start(MakeAttempt(0));
  guard.Start(MakeAttempt(0, 2));
  BOOST_TEST((guard.TakeCalls() == Tasks{ 0 }));
  guard.Reply(MakeAttempt(0), kStart);
  guard.Start(MakeAttempt(0));
  BOOST_TEST(guard.TakeCalls().empty());
}

BOOST_AUTO_TEST_CASE(AttemptThatWasNeverSeenIsRefusedWhenItArrives)
{
  Fixture guard;
  guard.starts_.OnResolve(kLink, { { MakeAttempt(0) } }, kStart, guard.out_);
  guard.TakeCalls();
  guard.Start(MakeAttempt(0));
  BOOST_TEST(guard.TakeCalls().empty());
  BOOST_TEST((guard.refusals_ == Refusals{ gpRefusal::Tombstone }));
  guard.Start(MakeAttempt(0, 2));
  BOOST_TEST((guard.TakeCalls() == Tasks{ 0 }));
}

BOOST_AUTO_TEST_CASE(TaskBeyondTheSlotsWaitsForAFreeSlot)
{
  Fixture guard;
  guard.Start(MakeAttempt(0));
  guard.Start(MakeAttempt(1));
  BOOST_TEST((guard.TakeCalls() == Tasks{ 0 }));
  BOOST_TEST(guard.refusals_.empty());
  guard.Reply(MakeAttempt(0), kStart);
  BOOST_TEST((guard.TakeCalls() == Tasks{ 1 }));
}

BOOST_AUTO_TEST_CASE(TaskIsRefusedWhenTooManyWait)
{
  Fixture guard;
  constexpr std::uint32_t kSlotsAndPending = 9;
  for (std::uint32_t task = 0; task < kSlotsAndPending; ++task) {
    guard.Start(MakeAttempt(task));
  }
  guard.TakeCalls();
  BOOST_TEST(guard.refusals_.empty());
  guard.Start(MakeAttempt(kSlotsAndPending));
  guard.TakeCalls();
  BOOST_TEST((guard.refusals_ == Refusals{ gpRefusal::NoSlot }));
}

BOOST_AUTO_TEST_CASE(WaitingTaskIsNotRunAfterItsDeadline)
{
  Fixture guard;
  guard.Start(MakeAttempt(0));
  guard.Start(MakeAttempt(1));
  guard.TakeCalls();
  guard.Reply(MakeAttempt(0), kStart + gpMillis(1000));
  BOOST_TEST(guard.TakeCalls().empty());
  BOOST_TEST((guard.refusals_ == Refusals{ gpRefusal::Expired }));
}

BOOST_AUTO_TEST_CASE(WaitingTaskIsNotRunWhenItsCancelled)
{
  Fixture guard;
  guard.Start(MakeAttempt(0));
  guard.Start(MakeAttempt(1));
  guard.TakeCalls();
  guard.starts_.OnCancel(kLink, { { MakeAttempt(1) } }, kStart, guard.out_);
  guard.TakeCalls();
  BOOST_TEST((guard.refusals_ == Refusals{ gpRefusal::Cancelled }));
  guard.Reply(MakeAttempt(0), kStart);
  BOOST_TEST(guard.TakeCalls().empty());
}

BOOST_AUTO_TEST_CASE(WaitingTaskIsNotRunWhenTheTargetLeaves)
{
  Fixture guard;
  guard.Start(MakeAttempt(0));
  guard.Start(MakeAttempt(1));
  guard.TakeCalls();
  guard.starts_.Leave(kStart, guard.out_);
  guard.TakeCalls();
  BOOST_TEST((guard.refusals_ == Refusals{ gpRefusal::Leaving }));
  guard.Reply(MakeAttempt(0), kStart);
  BOOST_TEST(guard.TakeCalls().empty());
}

BOOST_AUTO_TEST_CASE(TargetThatReturnedReceivesTasks)
{
  Fixture guard;
  guard.starts_.Leave(kStart, guard.out_);
  guard.Start(MakeAttempt(0));
  BOOST_TEST(guard.TakeCalls().empty());
  guard.starts_.CancelLeave(guard.out_);
  guard.Start(MakeAttempt(0, 2));
  BOOST_TEST((guard.TakeCalls() == Tasks{ 0 }));
}
