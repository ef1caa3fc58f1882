#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpFrame.h"

/** \class gpFrameCodec
 * \brief Turns frames into bytes and back.
 *
 * Decoding trusts nothing: it verifies the buffer, the range of each
 * enumerator, and that each required field is there. All its errors are
 * BadFrame, but for FrameTooLarge over kMaxBytes.
 */
class gpFrameCodec
{
public:
  /// Version of the schema and of the link protocol; told in gpHello.
  static constexpr std::uint32_t kProtocolVersion = 2;
  /// Most messages in one frame.
  static constexpr std::size_t kMaxMessages = 65536;
  /// Most bytes of one frame that can be decoded.
  static constexpr std::size_t kMaxBytes = 1U << 30U;

  /// Encodes the first messages, at least one if there is any, until the frame
  /// has grown past aSoftBytes or to kMaxMessages.
  static gpEncodedFrame EncodeFrame(const gpFrameHeader& aHeader,
                                    std::span<const gpMessage> aMessages,
                                    std::size_t aSoftBytes);
  /// Encodes a whole frame of at most kMaxMessages messages.
  static std::string EncodeFrame(const gpFrame& aFrame);
  static absl::StatusOr<gpFrame> DecodeFrame(std::string_view aBytes);

  static std::string EncodeHello(const gpHello& aHello);
  static absl::StatusOr<gpHello> DecodeHello(std::string_view aBytes);
};
