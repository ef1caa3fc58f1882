#include "gpFrameCodec.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "gpError.h"
#include "gpWireClaims.h"
#include "gpWireHello.h"
#include "gpWireRuns.h"
#include "gpWireStarts.h"
#include "gpWireUpdates.h"
#include "gpWire_generated.h"

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

namespace {

/// FlatBuffers file identifier of a hello.
constexpr const char* kHelloIdentifier = "GPHL";
/// Limit on the nesting of tables, which is more than the schema has.
constexpr flatbuffers::uoffset_t kMaxDepth = 8;
/// Smallest size of a table: the offset to its vtable and an offset that refers
/// to it, 4 bytes each. Limits how many tables a buffer may contain.
constexpr std::size_t kMinTableBytes = 8;
/// Initial buffer size of a builder: enough for the header of a frame and small
/// messages.
constexpr std::size_t kInitialBuilderBytes = 1024;

// The table of the schema as which a message is encoded.
template<typename Table>
std::type_identity<Table> TableTypeOf(Offset<Table>);
template<typename Model>
using TableOf = typename decltype(TableTypeOf(
  gpWriteWire(std::declval<FlatBufferBuilder&>(),
              std::declval<const Model&>())))::type;

using MessageReader = bool (*)(gpWireReader&, const void*, gpMessage&);

template<typename Model>
bool
ReadMessage(gpWireReader& aReader, const void* aIn, gpMessage& aOut)
{
  const auto* table = static_cast<const TableOf<Model>*>(aIn);
  return gpReadWire(aReader, table, aOut.emplace<Model>());
}

template<std::size_t... kIndex>
constexpr auto
MakeReaders(std::index_sequence<kIndex...> /*aIndices*/)
{
  using gpWire::MessageTraits;
  static_assert(
    ((MessageTraits<
        TableOf<std::variant_alternative_t<kIndex, gpMessage>>>::enum_value ==
      static_cast<gpWire::Message>(kIndex + 1)) &&
     ...),
    "the union of the schema must list the messages in the variant's order");
  return std::array<MessageReader, sizeof...(kIndex)>{
    &ReadMessage<std::variant_alternative_t<kIndex, gpMessage>>...
  };
}

/// The decoder of each message type, by the number of the type in the schema's
/// union minus one.
constexpr auto kReaders =
  MakeReaders(std::make_index_sequence<std::variant_size_v<gpMessage>>());
static_assert(kReaders.size() == static_cast<int>(gpWire::Message::MAX));

absl::Status
BadFrame(const char* aReason)
{
  return gpMakeError(gpErrorCode::BadFrame, aReason);
}

/// Provides bytes at an address that is aligned for FlatBuffers; copies them if
/// they are not aligned.
class AlignedBytes
{
public:
  explicit AlignedBytes(std::string_view aBytes)
    : bytes_(aBytes)
  {
    constexpr std::size_t kAlignment = alignof(std::max_align_t);
    if (reinterpret_cast<std::uintptr_t>(aBytes.data()) % kAlignment != 0) {
      // Beyond the small-string buffer, a string is on the heap and so aligned.
      copy_.reserve(kMinHeapString);
      copy_.assign(aBytes);
      bytes_ = copy_;
    }
  }

  const std::uint8_t* Data() const
  {
    return reinterpret_cast<const std::uint8_t*>(bytes_.data());
  }
  std::size_t Size() const { return bytes_.size(); }

private:
  static constexpr std::size_t kMinHeapString = 64;

  std::string copy_;
  std::string_view bytes_;
};

template<typename Table>
bool
IsVerified(const AlignedBytes& aBytes, const char* aIdentifier)
{
  flatbuffers::Verifier::Options options;
  options.max_depth = kMaxDepth;
  options.max_tables =
    static_cast<flatbuffers::uoffset_t>(aBytes.Size() / kMinTableBytes);
  flatbuffers::Verifier verifier(aBytes.Data(), aBytes.Size(), options);
  return verifier.VerifyBuffer<Table>(aIdentifier);
}

std::string
TakeBytes(const FlatBufferBuilder& aBuilder)
{
  return { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
           aBuilder.GetSize() };
}

bool
ReadMessages(gpWireReader& aReader,
             const gpWire::Frame& aIn,
             std::vector<gpMessage>& aOut)
{
  if (aIn.messages() == nullptr) {
    return true;
  }
  const std::size_t count = aIn.messages()->size();
  if (count > gpFrameCodec::kMaxMessages) {
    return aReader.Fail("too many messages");
  }
  aOut.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    const auto index = static_cast<flatbuffers::uoffset_t>(i);
    // Type 0 means no message; minus one it wraps around to an index past the
    // end.
    const std::size_t type =
      static_cast<std::size_t>(
        aIn.messages_type()->GetEnum<gpWire::Message>(index)) -
      1;
    if (type >= kReaders.size()) {
      return aReader.Fail("message of unknown type");
    }
    if (!kReaders.at(type)(aReader, aIn.messages()->Get(index), aOut[i])) {
      return false;
    }
  }
  return true;
}

} // namespace

gpEncodedFrame
gpFrameCodec::EncodeFrame(const gpFrameHeader& aHeader,
                          std::span<const gpMessage> aMessages,
                          std::size_t aSoftBytes)
{
  FlatBufferBuilder builder(kInitialBuilderBytes);
  std::vector<gpWire::Message> types;
  std::vector<Offset<void>> messages;
  for (const gpMessage& message : aMessages) {
    types.push_back(static_cast<gpWire::Message>(message.index() + 1));
    messages.push_back(std::visit(
      [&builder](const auto& aMessage) {
        return gpWriteWire(builder, aMessage).Union();
      },
      message));
    if (builder.GetSize() > aSoftBytes || messages.size() == kMaxMessages) {
      break;
    }
  }
  Offset<flatbuffers::Vector<gpWire::Message>> typeVector;
  Offset<flatbuffers::Vector<Offset<void>>> messageVector;
  if (!messages.empty()) {
    typeVector = builder.CreateVector(types);
    messageVector = builder.CreateVector(messages);
  }
  builder.Finish(gpWire::CreateFrame(builder,
                                     aHeader.link_,
                                     aHeader.sequence_,
                                     aHeader.clock_,
                                     typeVector,
                                     messageVector),
                 gpWire::FrameIdentifier());
  return { TakeBytes(builder), messages.size() };
}

std::string
gpFrameCodec::EncodeFrame(const gpFrame& aFrame)
{
  return EncodeFrame(aFrame.header_, aFrame.messages_, kMaxBytes).bytes_;
}

absl::StatusOr<gpFrame>
gpFrameCodec::DecodeFrame(std::string_view aBytes)
{
  if (aBytes.size() > kMaxBytes) {
    return gpMakeError(gpErrorCode::FrameTooLarge, "frame over 1 GiB");
  }
  const AlignedBytes bytes(aBytes);
  if (!IsVerified<gpWire::Frame>(bytes, gpWire::FrameIdentifier())) {
    return BadFrame("not a frame, or a required field is missing");
  }
  const gpWire::Frame* table = gpWire::GetFrame(bytes.Data());
  gpFrame frame;
  frame.header_ = { table->link(), table->sequence(), table->clock() };
  gpWireReader reader(bytes.Size());
  if (!ReadMessages(reader, *table, frame.messages_)) {
    return BadFrame(reader.GetFailure());
  }
  return frame;
}

std::string
gpFrameCodec::EncodeHello(const gpHello& aHello)
{
  FlatBufferBuilder builder(kInitialBuilderBytes);
  builder.Finish(gpWriteWire(builder, aHello), kHelloIdentifier);
  return TakeBytes(builder);
}

absl::StatusOr<gpHello>
gpFrameCodec::DecodeHello(std::string_view aBytes)
{
  if (aBytes.size() > kMaxBytes) {
    return gpMakeError(gpErrorCode::FrameTooLarge, "hello over 1 GiB");
  }
  const AlignedBytes bytes(aBytes);
  if (!IsVerified<gpWire::Hello>(bytes, kHelloIdentifier)) {
    return BadFrame("not a hello, or a required field is missing");
  }
  gpHello hello;
  gpWireReader reader(bytes.Size());
  const auto* table = flatbuffers::GetRoot<gpWire::Hello>(bytes.Data());
  if (!gpReadWire(reader, table, hello)) {
    return BadFrame(reader.GetFailure());
  }
  return hello;
}
