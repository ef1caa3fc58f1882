#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gpMessage.h"
#include "gpPeer.h"

/** \class gpFrameHeader
 * \brief Identifies a frame: its link, its position on the link and its time.
 */
struct gpFrameHeader
{
  /// XOR of the nonces that both sides sent in the handshake. A frame that was
  /// recorded on another link has another number and is rejected.
  std::uint64_t link_ = 0;
  /// Consecutive number of the frame on its link in its direction, from 1.
  std::uint64_t sequence_ = 0;
  /// Lamport time of the sender when it encoded the frame.
  std::uint64_t clock_ = 0;

  bool operator==(const gpFrameHeader&) const = default;
};

/** \class gpFrame
 * \brief The unit of transmission on a link: a header and any number of
 * messages. A frame without messages is a heartbeat.
 */
struct gpFrame
{
  gpFrameHeader header_;
  std::vector<gpMessage> messages_;

  bool operator==(const gpFrame&) const = default;
};

/** \class gpEncodedFrame
 * \brief An encoded frame.
 */
struct gpEncodedFrame
{
  std::string bytes_;
  /// How many of the messages passed to EncodeFrame the frame contains.
  std::size_t messageCount_ = 0;
};

/** \class gpHello
 * \brief The handshake message: the first payload that each side of a link
 * sends. It is not part of a frame.
 */
struct gpHello
{
  /// gpFrameCodec::kProtocolVersion of the sender.
  std::uint32_t protocol_ = 0;
  /// The identity of the sender.
  gpPeer peer_;
  /// Random number that the sender has drawn for this link.
  std::uint64_t nonce_ = 0;
  /// Sent by the dialing side: the nonce that it received from the accepting
  /// side. 0 if sent by the accepting side, whose hello is the first one.
  std::uint64_t echo_ = 0;

  bool operator==(const gpHello&) const = default;
};
