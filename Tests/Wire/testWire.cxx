#define BOOST_TEST_MODULE gpWire
#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

#include "gpError.h"
#include "gpFrameCodec.h"
#include "gpSampleMessages.h"
#include "gpWire_generated.h"

using flatbuffers::FlatBufferBuilder;

namespace {

constexpr std::uint32_t kSeed = 20240607;

gpFrame
SampleFrame()
{
  return { { 3, 17, 99 }, gpSampleMessages() };
}

bool
IsBadFrame(const std::string& aBytes)
{
  return gpErrorCodeOf(gpFrameCodec::DecodeFrame(aBytes).status()) ==
         gpErrorCode::BadFrame;
}

/// A frame with one message, built with the generated code of the schema.
std::string
FrameOf(gpWire::Message aType,
        const std::function<flatbuffers::Offset<void>(FlatBufferBuilder&)>&
          aWriteMessage)
{
  FlatBufferBuilder builder;
  const auto message = aWriteMessage(builder);
  const auto types =
    builder.CreateVector(std::vector<gpWire::Message>{ aType });
  const auto messages =
    builder.CreateVector(std::vector<flatbuffers::Offset<void>>{ message });
  builder.Finish(gpWire::CreateFrame(builder, 1, 1, 1, types, messages),
                 gpWire::FrameIdentifier());
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

std::string
RefusalFrame(int aReason)
{
  return FrameOf(
    gpWire::Message::StartRefused, [aReason](FlatBufferBuilder& aBuilder) {
      const gpWire::TaskId task({ 1, 2 }, 3);
      return gpWire::CreateStartRefused(
               aBuilder, &task, 1, static_cast<gpWire::Refusal>(aReason), 0)
        .Union();
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(EveryMessageTypeRoundTrips)
{
  const std::vector<gpMessage> samples = gpSampleMessages();
  BOOST_REQUIRE(samples.size() == std::variant_size_v<gpMessage>);
  for (std::size_t i = 0; i < samples.size(); ++i) {
    BOOST_TEST_CONTEXT("message type " << i)
    {
      BOOST_REQUIRE(samples[i].index() == i);
      const gpFrame frame{ { 9, i + 1, 5 }, { samples[i] } };
      const auto back =
        gpFrameCodec::DecodeFrame(gpFrameCodec::EncodeFrame(frame));
      BOOST_REQUIRE(back.ok());
      BOOST_TEST((*back == frame));
    }
  }
}

BOOST_AUTO_TEST_CASE(ManyMessagesRoundTripInOrder)
{
  gpFrame frame = SampleFrame();
  const std::vector<gpMessage> sparse = gpSparseMessages();
  frame.messages_.insert(frame.messages_.end(), sparse.begin(), sparse.end());
  const auto back = gpFrameCodec::DecodeFrame(gpFrameCodec::EncodeFrame(frame));
  BOOST_REQUIRE(back.ok());
  BOOST_TEST((*back == frame));
}

// Guards against an entry that can't tell another one of its ended jobs, as the
// reader takes many small rows for parts that overlap.
BOOST_AUTO_TEST_CASE(AnUpdateWithManyEndedJobsRoundTrips)
{
  gpEntryUpdate update;
  for (std::uint64_t job = 0; job < 10000; ++job) {
    update.cancelled_.push_back(
      { std::to_string(1000000000000000U + job), gpMillis(0) });
  }
  update.completed_ = update.cancelled_;
  const gpFrame frame{ { 2, 3, 4 }, { update } };
  const std::string bytes = gpFrameCodec::EncodeFrame(frame);
  BOOST_TEST_MESSAGE(bytes.size() << " bytes");
  const auto back = gpFrameCodec::DecodeFrame(bytes);
  BOOST_REQUIRE(back.ok());
  BOOST_TEST((*back == frame));
}

// Guards against an entry that loses its links with entries of the version
// before, which don't tell of crashes or ended jobs.
BOOST_AUTO_TEST_CASE(AnUpdateOfAnOlderEntryIsRead)
{
  const std::string bytes =
    FrameOf(gpWire::Message::EntryNews, [](FlatBufferBuilder& aBuilder) {
      const auto entries = aBuilder.CreateVector(
        std::vector<flatbuffers::Offset<gpWire::KnownEntry>>{});
      return gpWire::CreateEntryNews(aBuilder, entries).Union();
    });
  const auto back = gpFrameCodec::DecodeFrame(bytes);
  BOOST_REQUIRE(back.ok());
  BOOST_TEST((back->messages_ == std::vector<gpMessage>{ gpEntryUpdate{} }));
}

BOOST_AUTO_TEST_CASE(HeartbeatRoundTrips)
{
  const gpFrame frame{ { 2, 3, 4 }, {} };
  const auto back = gpFrameCodec::DecodeFrame(gpFrameCodec::EncodeFrame(frame));
  BOOST_REQUIRE(back.ok());
  BOOST_TEST((*back == frame));
}

BOOST_AUTO_TEST_CASE(HelloRoundTripsAndIsNotAFrame)
{
  const gpHello hello{
    9, { gpRole::Guard, "g1", gpIncarnation(8), gpAddress("127.0.0.1:1") }, 5, 6
  };
  const std::string bytes = gpFrameCodec::EncodeHello(hello);
  const auto back = gpFrameCodec::DecodeHello(bytes);
  BOOST_REQUIRE(back.ok());
  BOOST_TEST((*back == hello));
  BOOST_TEST(IsBadFrame(bytes));
  const auto other =
    gpFrameCodec::DecodeHello(gpFrameCodec::EncodeFrame(SampleFrame()));
  BOOST_TEST((gpErrorCodeOf(other.status()) == gpErrorCode::BadFrame));
}

BOOST_AUTO_TEST_CASE(SoftLimitEndsAFrame)
{
  const std::vector<gpMessage> messages(100, gpSampleMessages().front());
  const gpEncodedFrame some =
    gpFrameCodec::EncodeFrame({ 1, 1, 1 }, messages, 1000);
  BOOST_TEST(some.messageCount_ > 1U);
  BOOST_TEST(some.messageCount_ < messages.size());
  const auto back = gpFrameCodec::DecodeFrame(some.bytes_);
  BOOST_REQUIRE(back.ok());
  BOOST_TEST(back->messages_.size() == some.messageCount_);
  BOOST_TEST(
    gpFrameCodec::EncodeFrame({ 1, 1, 1 }, messages, 0).messageCount_ == 1U);
}

BOOST_AUTO_TEST_CASE(UnalignedBytesAreDecoded)
{
  const std::string bytes = "x" + gpFrameCodec::EncodeFrame(SampleFrame());
  const auto back =
    gpFrameCodec::DecodeFrame(std::string_view(bytes).substr(1));
  BOOST_REQUIRE(back.ok());
  BOOST_TEST((*back == SampleFrame()));
}

BOOST_AUTO_TEST_CASE(TruncatedFramesNeverCrash)
{
  const std::string bytes = gpFrameCodec::EncodeFrame(SampleFrame());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    // substr copies the bytes, so that AddressSanitizer detects each read past
    // their end. If only padding was cut off, the frame may still be decoded;
    // in all other cases it must be rejected.
    const auto back = gpFrameCodec::DecodeFrame(bytes.substr(0, size));
    BOOST_REQUIRE((back.ok()
                     ? *back == SampleFrame()
                     : gpErrorCodeOf(back.status()) == gpErrorCode::BadFrame));
  }
  BOOST_TEST(IsBadFrame(bytes.substr(0, bytes.size() / 2)));
}

BOOST_AUTO_TEST_CASE(FlippedBitsNeverCrash)
{
  const std::string bytes = gpFrameCodec::EncodeFrame(SampleFrame());
  std::mt19937 random(kSeed);
  std::size_t refused = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string flipped = bytes;
    for (std::uint32_t flip = 0; flip <= random() % 3; ++flip) {
      char& byte = flipped[random() % bytes.size()];
      byte = static_cast<char>(static_cast<unsigned char>(byte) ^
                               1U << random() % 8);
    }
    const auto back = gpFrameCodec::DecodeFrame(flipped);
    if (!back.ok()) {
      BOOST_REQUIRE((gpErrorCodeOf(back.status()) == gpErrorCode::BadFrame));
      ++refused;
    }
  }
  BOOST_TEST(refused > 0U);
}

BOOST_AUTO_TEST_CASE(EnumeratorsAreChecked)
{
  constexpr int kLast = static_cast<int>(gpWire::Refusal::MAX);
  BOOST_TEST(gpFrameCodec::DecodeFrame(RefusalFrame(kLast)).ok());
  BOOST_TEST(IsBadFrame(RefusalFrame(kLast + 1)));
  BOOST_TEST(IsBadFrame(RefusalFrame(255)));
}

BOOST_AUTO_TEST_CASE(MissingFieldsAreRefused)
{
  const auto emptyTable = [](FlatBufferBuilder& aBuilder) {
    return flatbuffers::Offset<void>(aBuilder.EndTable(aBuilder.StartTable()));
  };
  for (int type = 1; type <= static_cast<int>(gpWire::Message::MAX); ++type) {
    const auto message = static_cast<gpWire::Message>(type);
    const bool hasNoRequiredField = message == gpWire::Message::SlotReport ||
                                    message == gpWire::Message::NewsRequest;
    if (!hasNoRequiredField) {
      BOOST_TEST(IsBadFrame(FrameOf(message, emptyTable)));
    }
  }
  constexpr int kUnknown = static_cast<int>(gpWire::Message::MAX) + 1;
  BOOST_TEST(IsBadFrame(FrameOf(gpWire::Message::NONE, emptyTable)));
  BOOST_TEST(
    IsBadFrame(FrameOf(static_cast<gpWire::Message>(kUnknown), emptyTable)));
}

BOOST_AUTO_TEST_CASE(SharedPartsCannotInflateAFrame)
{
  const std::string bytes =
    FrameOf(gpWire::Message::AttachReply, [](FlatBufferBuilder& aBuilder) {
      const auto body = aBuilder.CreateString(std::string(10000, 'x'));
      const auto result = gpWire::CreateTaskResult(aBuilder, 200, body);
      const auto results = aBuilder.CreateVector(std::vector(1000, result));
      const gpWire::JobId job(1, 2);
      return gpWire::CreateAttachReply(
               aBuilder,
               &job,
               gpWire::Answer::Complete,
               gpWire::CreateComplete(aBuilder, results).Union())
        .Union();
    });
  BOOST_TEST(IsBadFrame(bytes));
}
