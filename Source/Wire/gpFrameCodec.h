#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpFrame.h"

/** \class gpFrameCodec
 * \brief Encodes and decodes frames and hellos.
 *
 * The decoders accept untrusted bytes: they verify the structure of the buffer,
 * the range of each enumerator, and that each required field is present. They
 * fail with BadFrame, or with FrameTooLarge for more than kMaxBytes.
 */
class gpFrameCodec
{
public:
  /// Version of the schema and of the link protocol; sent in gpHello.
  static constexpr std::uint32_t kProtocolVersion = 2;
  /// Largest number of messages in a frame.
  static constexpr std::size_t kMaxMessages = 65536;
  /// Size of the largest frame that can be decoded.
  static constexpr std::size_t kMaxBytes = 1U << 30U;

  /// Encodes a frame with the first of the messages. Adds messages, at least
  /// one if there is any, until the frame is larger than aSoftBytes or contains
  /// kMaxMessages; the result says how many.
  static gpEncodedFrame EncodeFrame(const gpFrameHeader& aHeader,
                                    std::span<const gpMessage> aMessages,
                                    std::size_t aSoftBytes);
  /// Encodes a frame with all its messages, which must be at most kMaxMessages.
  static std::string EncodeFrame(const gpFrame& aFrame);
  static absl::StatusOr<gpFrame> DecodeFrame(std::string_view aBytes);

  static std::string EncodeHello(const gpHello& aHello);
  static absl::StatusOr<gpHello> DecodeHello(std::string_view aBytes);
};
