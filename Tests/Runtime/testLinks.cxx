#define BOOST_TEST_MODULE gpLinkService
#include <boost/test/unit_test.hpp>

#include "gpLinkPeer.h"
#include "gpRawLink.h"
#include "gpTestLoop.h"

namespace {

/// Two peers with a link that the first one has dialed.
struct LinkedPair
{
  explicit LinkedPair(gpLinkSettings aSettings = {})
    : dialer_(loop_, 1, aSettings)
    , acceptor_(loop_, 2, aSettings)
    , address_(acceptor_.Listen())
  {
    dialer_.service_.Watch(address_);
    RunUntilUp(1);
  }

  /// Runs the loop until each side has reported this many links up.
  void RunUntilUp(std::size_t aTimes)
  {
    gpRunUntil(loop_, [this, aTimes]() {
      return dialer_.ups_.size() == aTimes && acceptor_.ups_.size() == aTimes;
    });
  }

  gpEventLoop loop_;
  gpLinkPeer dialer_;
  gpLinkPeer acceptor_;
  gpAddress address_;
};

} // namespace

BOOST_AUTO_TEST_CASE(BothSidesLearnTheirPeer)
{
  LinkedPair pair;
  BOOST_TEST((pair.dialer_.ups_[0].peer_ == pair.acceptor_.self_));
  BOOST_TEST((pair.dialer_.ups_[0].dialed_ == pair.address_));
  BOOST_TEST((pair.acceptor_.ups_[0].peer_ == pair.dialer_.self_));
  BOOST_TEST(!pair.acceptor_.ups_[0].dialed_.has_value());
}

BOOST_AUTO_TEST_CASE(OrderIsKeptInBothDirections)
{
  constexpr std::uint32_t kMessages = 10000;
  constexpr std::uint32_t kPerTurn = 7;
  LinkedPair pair;
  std::uint32_t sent = 0;
  std::function<void()> sendSome = [&]() {
    for (std::uint32_t i = 0; i < kPerTurn && sent < kMessages; ++i, ++sent) {
      pair.dialer_.service_.Send(pair.dialer_.ups_[0].link_,
                                 gpNumberedMessage(sent));
      pair.acceptor_.service_.Send(pair.acceptor_.ups_[0].link_,
                                   gpNumberedMessage(sent));
    }
    if (sent < kMessages) {
      pair.loop_.Post(sendSome);
    }
  };
  sendSome();
  for (gpLinkPeer* peer : { &pair.dialer_, &pair.acceptor_ }) {
    gpRunUntil(pair.loop_,
               [&]() { return peer->messages_.size() == kMessages; });
    for (std::uint32_t i = 0; i < kMessages; ++i) {
      BOOST_REQUIRE(gpMessageNumber(peer->messages_[i].second) == i);
      BOOST_REQUIRE((peer->messages_[i].first == peer->ups_[0].link_));
    }
  }
  const gpLinkCounts counts = pair.dialer_.service_.GetCounts();
  BOOST_TEST(counts.messagesSent_ == kMessages);
  BOOST_TEST(counts.messagesReceived_ == kMessages);
}

BOOST_AUTO_TEST_CASE(MessagesOfOneIterationShareAFrame)
{
  LinkedPair pair;
  const gpLinkCounts before = pair.dialer_.service_.GetCounts();
  for (std::uint32_t i = 0; i < 50; ++i) {
    pair.dialer_.service_.Send(pair.dialer_.ups_[0].link_,
                               gpNumberedMessage(i));
  }
  gpRunUntil(pair.loop_,
             [&]() { return pair.acceptor_.messages_.size() == 50; });
  const gpLinkCounts after = pair.dialer_.service_.GetCounts();
  BOOST_TEST(after.framesSent_ - before.framesSent_ == 1U);
  BOOST_TEST(after.bytesSent_ ==
             pair.acceptor_.service_.GetCounts().bytesReceived_);
}

BOOST_AUTO_TEST_CASE(LargeMessagesAreSentInSeveralFrames)
{
  gpLinkSettings settings;
  settings.frameBytes_ = 100000;
  LinkedPair pair(settings);
  gpStart start;
  start.body_ = std::string(80000, 'x');
  for (int i = 0; i < 5; ++i) {
    pair.dialer_.service_.Send(pair.dialer_.ups_[0].link_,
                               gpNumberedMessage(1));
    pair.dialer_.service_.Send(pair.dialer_.ups_[0].link_, start);
  }
  gpRunUntil(pair.loop_,
             [&]() { return pair.acceptor_.messages_.size() == 10; });
  BOOST_TEST((std::get<gpStart>(pair.acceptor_.messages_[9].second) == start));

  start.body_ = std::string(200000, 'x');
  pair.dialer_.service_.Send(pair.dialer_.ups_[0].link_, start);
  // Reported later, not from inside Send.
  BOOST_TEST(pair.dialer_.downs_.empty());
  gpRunUntil(pair.loop_, [&]() { return !pair.dialer_.downs_.empty(); });
  BOOST_TEST((pair.dialer_.downs_[0].code_ == gpErrorCode::FrameTooLarge));
}

BOOST_AUTO_TEST_CASE(LinkClosedByTheAcceptorIsRedialed)
{
  LinkedPair pair;
  pair.acceptor_.service_.Close(pair.acceptor_.ups_[0].link_);
  pair.RunUntilUp(2);
  BOOST_TEST(pair.acceptor_.downs_.empty());
  BOOST_REQUIRE(pair.dialer_.downs_.size() == 1U);
  BOOST_TEST((pair.dialer_.downs_[0].code_ == gpErrorCode::LinkClosed));
  BOOST_TEST((pair.dialer_.downs_[0].link_ == pair.dialer_.ups_[0].link_));
}

BOOST_AUTO_TEST_CASE(LinkClosedByTheDialerIsRedialed)
{
  LinkedPair pair;
  pair.dialer_.service_.Close(pair.dialer_.ups_[0].link_);
  pair.dialer_.service_.Send(pair.dialer_.ups_[0].link_, gpNumberedMessage(1));
  pair.RunUntilUp(2);
  BOOST_TEST(pair.dialer_.downs_.empty());
  BOOST_REQUIRE(pair.acceptor_.downs_.size() == 1U);
  BOOST_TEST((pair.acceptor_.downs_[0].code_ == gpErrorCode::LinkClosed));
  BOOST_TEST(pair.acceptor_.messages_.empty());
}

BOOST_AUTO_TEST_CASE(UnwatchedAddressIsNotRedialed)
{
  gpLinkSettings settings;
  settings.redial_ = gpMillis(1);
  LinkedPair pair(settings);
  pair.dialer_.service_.Unwatch(pair.address_);
  gpRunUntil(pair.loop_, [&]() { return !pair.acceptor_.downs_.empty(); });
  // The link of another dialer comes up later than a redial would have.
  gpLinkPeer other(pair.loop_, 3, settings);
  bool isLater = false;
  other.timers_.Subscribe(gpEventLoop::Now() + 5 * settings.redial_, [&]() {
    isLater = true;
    other.service_.Watch(pair.address_);
  });
  gpRunUntil(pair.loop_,
             [&]() { return isLater && pair.acceptor_.ups_.size() == 2; });
  BOOST_TEST((pair.acceptor_.ups_[1].peer_ == other.self_));
  BOOST_TEST(pair.dialer_.ups_.size() == 1U);
  BOOST_TEST(pair.dialer_.downs_.empty());
  BOOST_TEST(pair.dialer_.dialFailures_.empty());
}

BOOST_AUTO_TEST_CASE(RestartedAcceptorIsRedialed)
{
  gpEventLoop loop;
  gpLinkSettings settings;
  settings.redial_ = gpMillis(5);
  gpLinkPeer dialer(loop, 1, settings);
  auto acceptor = std::make_unique<gpLinkPeer>(loop, 2, settings);
  const gpAddress address = acceptor->Listen();
  dialer.service_.Watch(address);
  gpRunUntil(loop, [&]() { return dialer.ups_.size() == 1; });
  acceptor.reset();
  gpRunUntil(loop, [&]() { return dialer.dialFailures_.size() >= 2; });
  BOOST_TEST((dialer.downs_.at(0).code_ == gpErrorCode::LinkClosed));
  BOOST_TEST((dialer.dialFailures_[0].second == gpErrorCode::ConnectRefused));
  acceptor = std::make_unique<gpLinkPeer>(loop, 3, settings);
  BOOST_REQUIRE(acceptor->service_.Listen(address).ok());
  gpRunUntil(loop, [&]() { return dialer.ups_.size() == 2; });
  BOOST_TEST((dialer.ups_[1].peer_ == acceptor->self_));
}

BOOST_AUTO_TEST_CASE(FailedDialIsReportedLater)
{
  gpEventLoop loop;
  gpLinkPeer dialer(loop, 1);
  dialer.service_.Watch(gpAddress("no address"));
  BOOST_TEST(dialer.dialFailures_.empty());
  gpRunUntil(loop, [&]() { return !dialer.dialFailures_.empty(); });
  BOOST_TEST((dialer.dialFailures_[0].second == gpErrorCode::BadArgument));
}

BOOST_AUTO_TEST_CASE(IdleLinkStaysUpOnHeartbeats)
{
  gpLinkSettings settings;
  settings.heartbeat_ = gpMillis(1);
  LinkedPair pair(settings);
  gpRunUntil(pair.loop_, [&]() {
    return pair.dialer_.service_.GetCounts().framesReceived_ >= 5 &&
           pair.acceptor_.service_.GetCounts().framesReceived_ >= 5;
  });
  BOOST_TEST(pair.dialer_.downs_.empty());
  BOOST_TEST(pair.dialer_.messages_.empty());
}

BOOST_AUTO_TEST_CASE(NewerLinkOfAnIncarnationReplacesTheOlder)
{
  gpEventLoop loop;
  gpLinkPeer acceptor(loop, 2);
  const gpAddress address = acceptor.Listen();
  gpRawLink first(loop);
  first.Connect(address);
  first.ShakeHands(7);
  gpRunUntil(loop, [&]() { return acceptor.ups_.size() == 1; });
  gpRawLink second(loop);
  second.Connect(address);
  second.ShakeHands(7);
  gpRunUntil(loop, [&]() { return acceptor.ups_.size() == 2; });
  BOOST_REQUIRE(acceptor.downs_.size() == 1U);
  BOOST_TEST((acceptor.downs_[0].link_ == acceptor.ups_[0].link_));
  BOOST_TEST((acceptor.downs_[0].code_ == gpErrorCode::LinkClosed));
  first.WaitForClose();
  second.SendFrame(1, { gpNumberedMessage(5) });
  gpRunUntil(loop, [&]() { return acceptor.messages_.size() == 1; });
}

BOOST_AUTO_TEST_CASE(FlushWaitsForSentMessages)
{
  gpLinkSettings settings;
  // No heartbeats: if the dialer closed its socket while it had unread bytes,
  // the connection would be reset and data lost.
  settings.heartbeat_ = gpMillis(60000);
  settings.silence_ = gpMillis(60000);
  gpEventLoop loop;
  gpLinkPeer acceptor(loop, 2, settings);
  auto dialer = std::make_unique<gpLinkPeer>(loop, 1, settings);
  dialer->service_.Watch(acceptor.Listen());
  gpRunUntil(loop, [&]() { return !dialer->ups_.empty(); });

  bool isFlushed = false;
  gpStart start;
  start.body_ = std::string(30U << 20U, 'x');
  dialer->service_.Send(dialer->ups_[0].link_, start);
  dialer->service_.Flush([&]() { isFlushed = true; });
  BOOST_TEST(!isFlushed);
  gpRunUntil(loop, [&]() { return isFlushed; });
  dialer.reset();
  gpRunUntil(loop, [&]() { return !acceptor.downs_.empty(); });
  BOOST_REQUIRE(acceptor.messages_.size() == 1U);
  BOOST_TEST((std::get<gpStart>(acceptor.messages_[0].second) == start));

  isFlushed = false;
  acceptor.service_.Flush([&]() { isFlushed = true; }); // nothing to send
  gpRunUntil(loop, [&]() { return isFlushed; });
}
