#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gpMessage.h"
#include "gpPeer.h"

/** \class gpFrameHeader
 * \brief Where a frame belongs.
 */
struct gpFrameHeader
{
  /// Number that both sides of the link made of their nonces.
  std::uint64_t link_ = 0;
  /// Number of the frame on its link and in its direction, from 1.
  std::uint64_t sequence_ = 0;
  /// Lamport time of the sender.
  std::uint64_t clock_ = 0;

  bool operator==(const gpFrameHeader&) const = default;
};

/** \class gpFrame
 * \brief What travels at once on a link. Without messages it's a heartbeat.
 */
struct gpFrame
{
  gpFrameHeader header_;
  std::vector<gpMessage> messages_;

  bool operator==(const gpFrame&) const = default;
};

/** \class gpEncodedFrame
 * \brief A frame as bytes.
 */
struct gpEncodedFrame
{
  std::string bytes_;
  /// How many of the messages given are in it.
  std::size_t messages_ = 0;
};

/** \class gpHello
 * \brief The first thing that each side of a link says, outside of frames.
 */
struct gpHello
{
  std::uint32_t protocol_ = 0;
  gpPeer peer_;
  /// Random number of the side that says this.
  std::uint64_t nonce_ = 0;
  /// The nonce of the accepting side as the dialing side received it; 0 from
  /// the accepting side, which speaks first.
  std::uint64_t echo_ = 0;

  bool operator==(const gpHello&) const = default;
};
