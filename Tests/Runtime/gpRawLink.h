#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gpEventLoop.h"
#include "gpFrame.h"
#include "gpIds.h"

/** \class gpRawLink
 * \brief One side of a link, of which a test controls every byte.
 */
class gpRawLink
{
public:
  explicit gpRawLink(gpEventLoop& aLoop);
  ~gpRawLink();
  gpRawLink(const gpRawLink&) = delete;
  gpRawLink& operator=(const gpRawLink&) = delete;

  void Connect(const gpAddress& aAddress);
  /// Listens on a free port, for one connection.
  gpAddress Listen();
  /// Runs the loop until that connection has been accepted.
  void WaitForConnection();

  void SendBytes(const std::string& aBytes);
  /// Sends the length prefix and the payload.
  void SendPayload(const std::string& aPayload);
  /// Sends a frame with the link number that ShakeHands has agreed on.
  void SendFrame(std::uint64_t aSequence, std::vector<gpMessage> aMessages);
  /// Performs a valid handshake as the dialing side.
  void ShakeHands(std::uint64_t aIncarnation);
  /// Runs the loop until the hello of the other side has arrived.
  gpHello ReadHello();
  /// Runs the loop until the other side has closed the connection.
  void WaitForClose();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
