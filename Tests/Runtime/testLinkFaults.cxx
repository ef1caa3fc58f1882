#include <boost/test/unit_test.hpp>

#include "gpFrameCodec.h"
#include "gpLinkPeer.h"
#include "gpRawLink.h"
#include "gpRecordingRelay.h"
#include "gpTestLoop.h"

namespace {

/// A listening peer that has a healthy link, and a raw link on which a test
/// sends faulty bytes.
struct RawAndHealthyLink
{
  explicit RawAndHealthyLink(gpLinkSettings aSettings = {})
    : acceptor_(loop_, 2, aSettings)
    , healthy_(loop_, 3)
    , address_(acceptor_.Listen())
    , raw_(loop_)
  {
    healthy_.service_.Watch(address_);
    RunUntilUp(1);
    raw_.Connect(address_);
  }

  void RunUntilUp(std::size_t aTimes)
  {
    gpRunUntil(loop_,
               [this, aTimes]() { return acceptor_.ups_.size() == aTimes; });
  }

  void ShakeHands()
  {
    raw_.ShakeHands(7);
    RunUntilUp(2);
  }

  /// Checks that the raw link has been closed with this code, and that the
  /// healthy one still works.
  void CheckOnlyRawClosed(gpErrorCode aCode)
  {
    gpRunUntil(loop_, [this]() { return !acceptor_.downs_.empty(); });
    BOOST_TEST((acceptor_.downs_[0].link_ == acceptor_.ups_[1].link_));
    BOOST_TEST((acceptor_.downs_[0].code_ == aCode));
    CheckHealthy();
    BOOST_TEST(acceptor_.downs_.size() == 1U);
  }

  void CheckHealthy()
  {
    const std::size_t before = acceptor_.messages_.size();
    gpRunUntil(loop_, [this]() { return !healthy_.ups_.empty(); });
    healthy_.service_.Send(healthy_.ups_[0].link_, gpNumberedMessage(99));
    gpRunUntil(loop_, [this, before]() {
      return acceptor_.messages_.size() == before + 1;
    });
    BOOST_TEST(gpMessageNumber(acceptor_.messages_.back().second) == 99U);
  }

  gpEventLoop loop_;
  gpLinkPeer acceptor_;
  gpLinkPeer healthy_;
  gpAddress address_;
  gpRawLink raw_;
};

const gpPeer kRawPeer{ gpRole::Entry,
                       "raw",
                       gpIncarnation(7),
                       gpAddress("127.0.0.1:9") };

std::string
HelloBytes(std::uint32_t aProtocol, std::uint64_t aEcho)
{
  return gpFrameCodec::EncodeHello({ aProtocol, kRawPeer, 5, aEcho });
}

/// The error that a dialer reports if the acceptor sends these bytes as its
/// hello; empty: it sends nothing.
gpErrorCode
DialFailureFor(const std::string& aHello)
{
  gpEventLoop loop;
  gpRawLink raw(loop);
  gpLinkSettings settings;
  settings.connectTimeout_ = gpMillis(aHello.empty() ? 20 : 1000);
  gpLinkPeer dialer(loop, 1, settings);
  dialer.service_.Watch(raw.Listen());
  if (!aHello.empty()) {
    raw.WaitForConnection();
    raw.SendPayload(aHello);
  }
  gpRunUntil(loop, [&]() { return !dialer.dialFailures_.empty(); });
  BOOST_TEST(dialer.ups_.empty());
  return dialer.dialFailures_[0].second;
}

} // namespace

BOOST_AUTO_TEST_CASE(SilentPeerIsClosed)
{
  gpLinkSettings settings;
  settings.silence_ = gpMillis(50);
  gpEventLoop loop;
  gpLinkPeer acceptor(loop, 2, settings);
  gpRawLink raw(loop);
  raw.Connect(acceptor.Listen());
  raw.ShakeHands(7);
  gpRunUntil(loop, [&]() { return !acceptor.downs_.empty(); });
  BOOST_TEST((acceptor.downs_[0].code_ == gpErrorCode::LinkSilent));
}

BOOST_AUTO_TEST_CASE(HandshakeHasATimeLimit)
{
  gpLinkSettings settings;
  settings.connectTimeout_ = gpMillis(20);
  gpEventLoop loop;
  gpLinkPeer acceptor(loop, 2, settings);
  gpRawLink raw(loop);
  raw.Connect(acceptor.Listen());
  raw.WaitForClose();
  BOOST_TEST(acceptor.ups_.empty());
  BOOST_TEST(acceptor.downs_.empty());
  BOOST_TEST((DialFailureFor("") == gpErrorCode::ConnectTimeout));
}

BOOST_AUTO_TEST_CASE(GarbageClosesOnlyItsLink)
{
  RawAndHealthyLink test;
  test.ShakeHands();
  test.raw_.SendPayload("this is no frame at all");
  test.CheckOnlyRawClosed(gpErrorCode::BadFrame);
}

BOOST_AUTO_TEST_CASE(OversizedFrameClosesOnlyItsLink)
{
  RawAndHealthyLink test;
  test.ShakeHands();
  test.raw_.SendBytes("\xff\xff\xff\xff");
  test.CheckOnlyRawClosed(gpErrorCode::FrameTooLarge);
}

BOOST_AUTO_TEST_CASE(FrameSentTwiceIsRefused)
{
  RawAndHealthyLink test;
  test.ShakeHands();
  test.raw_.SendFrame(1, { gpNumberedMessage(1) });
  test.raw_.SendFrame(1, { gpNumberedMessage(1) });
  gpRunUntil(test.loop_, [&]() { return !test.acceptor_.downs_.empty(); });
  BOOST_TEST(test.acceptor_.messages_.size() == 1U);
  test.CheckOnlyRawClosed(gpErrorCode::FrameOutOfOrder);
}

BOOST_AUTO_TEST_CASE(MissingFrameIsDetected)
{
  RawAndHealthyLink test;
  test.ShakeHands();
  test.raw_.SendFrame(2, { gpNumberedMessage(1) });
  test.CheckOnlyRawClosed(gpErrorCode::FrameOutOfOrder);
}

BOOST_AUTO_TEST_CASE(BadHandshakesNeverComeUp)
{
  RawAndHealthyLink test;
  const std::uint64_t nonce = test.raw_.ReadHello().nonce_;
  test.raw_.SendPayload(HelloBytes(gpFrameCodec::kProtocolVersion, nonce + 1));
  test.raw_.WaitForClose();

  gpRawLink other(test.loop_);
  other.Connect(test.address_);
  other.SendPayload(
    HelloBytes(gpFrameCodec::kProtocolVersion + 1, other.ReadHello().nonce_));
  other.WaitForClose();

  gpRawLink garbage(test.loop_);
  garbage.Connect(test.address_);
  garbage.SendBytes("GET / HTTP/1.1\r\n\r\n");
  garbage.WaitForClose();

  test.CheckHealthy();
  BOOST_TEST(test.acceptor_.ups_.size() == 1U);
  BOOST_TEST(test.acceptor_.downs_.empty());
}

BOOST_AUTO_TEST_CASE(DialerReportsWhyAHandshakeFailed)
{
  BOOST_TEST((DialFailureFor(HelloBytes(gpFrameCodec::kProtocolVersion + 1,
                                        0)) == gpErrorCode::ProtocolMismatch));
  BOOST_TEST((DialFailureFor("garbage") == gpErrorCode::BadFrame));
}

BOOST_AUTO_TEST_CASE(ReplayedBytesAreRefused)
{
  gpEventLoop loop;
  gpLinkPeer acceptor(loop, 2);
  gpLinkPeer dialer(loop, 1);
  const gpAddress address = acceptor.Listen();
  gpRecordingRelay relay(loop, address);
  dialer.service_.Watch(relay.GetAddress());
  gpRunUntil(loop,
             [&]() { return !dialer.ups_.empty() && !acceptor.ups_.empty(); });
  dialer.service_.Send(dialer.ups_[0].link_, gpNumberedMessage(1));
  acceptor.service_.Send(acceptor.ups_[0].link_, gpNumberedMessage(2));
  gpRunUntil(loop, [&]() {
    return !dialer.messages_.empty() && !acceptor.messages_.empty();
  });
  dialer.service_.Unwatch(relay.GetAddress());
  relay.Close();

  gpRawLink toAcceptor(loop);
  toAcceptor.Connect(address);
  toAcceptor.SendBytes(relay.GetDialerBytes());
  toAcceptor.WaitForClose();
  BOOST_TEST(acceptor.ups_.size() == 1U);
  BOOST_TEST(acceptor.messages_.size() == 1U);

  gpRawLink toDialer(loop);
  dialer.service_.Watch(toDialer.Listen());
  toDialer.WaitForConnection();
  toDialer.SendBytes(relay.GetServerBytes());
  gpRunUntil(loop, [&]() { return !dialer.downs_.empty(); });
  BOOST_TEST((dialer.downs_[0].code_ == gpErrorCode::ReplayedLink));
  BOOST_TEST(dialer.messages_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(FullSendBufferClosesOnlyItsLink)
{
  gpLinkSettings settings;
  settings.sendBytes_ = 8U << 20U;
  RawAndHealthyLink test(settings);
  test.ShakeHands();
  gpStart start;
  start.body_ = std::string(9U << 20U, 'x');
  test.acceptor_.service_.Send(test.acceptor_.ups_[1].link_, start);
  test.CheckOnlyRawClosed(gpErrorCode::SendBufferFull);
}

BOOST_AUTO_TEST_CASE(AFurtherHandshakeTakesThePlaceOfTheFirst)
{
  gpEventLoop loop;
  gpLinkSettings settings;
  settings.handshakes_ = 1;
  gpLinkPeer acceptor(loop, 1, settings);
  const gpAddress address = acceptor.Listen();
  gpRawLink silent(loop);
  silent.Connect(address);
  silent.ReadHello();
  gpRawLink second(loop);
  second.Connect(address);
  silent.WaitForClose();
  second.ShakeHands(2);
  gpRunUntil(loop, [&]() { return acceptor.ups_.size() == 1; });
}

BOOST_AUTO_TEST_CASE(LinksOverTheLimitAreClosed)
{
  gpEventLoop loop;
  gpLinkSettings settings;
  settings.acceptedLinks_ = 1;
  gpLinkPeer acceptor(loop, 1, settings);
  const gpAddress address = acceptor.Listen();
  gpRawLink first(loop);
  first.Connect(address);
  first.ShakeHands(2);
  gpRunUntil(loop, [&]() { return acceptor.ups_.size() == 1; });
  gpRawLink second(loop);
  second.Connect(address);
  second.ShakeHands(3);
  second.WaitForClose();
  BOOST_TEST(acceptor.ups_.size() == 1U);
  BOOST_TEST(acceptor.downs_.empty());
}

BOOST_AUTO_TEST_CASE(TheLinkWithTheLargestBufferIsClosedWhenMemoryRunsOut)
{
  gpLinkSettings settings;
  settings.memoryBytes_ = 1U << 20U;
  RawAndHealthyLink test(settings);
  test.ShakeHands();
  constexpr std::uint32_t kAnnounced = 4U << 20U;
  std::string frame;
  for (unsigned byte = 0; byte < sizeof(kAnnounced); ++byte) {
    frame.push_back(static_cast<char>(kAnnounced >> (8 * byte)));
  }
  test.raw_.SendBytes(frame + std::string(2U << 20U, 'x'));
  test.CheckOnlyRawClosed(gpErrorCode::LinkMemoryFull);
}
