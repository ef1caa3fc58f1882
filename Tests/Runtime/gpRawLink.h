#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gpEventLoop.h"
#include "gpFrame.h"
#include "gpIds.h"

/** \class gpRawLink
 * \brief One side of a link that a test speaks byte by byte.
 */
class gpRawLink
{
public:
  explicit gpRawLink(gpEventLoop& aLoop);
  ~gpRawLink();
  gpRawLink(const gpRawLink&) = delete;
  gpRawLink& operator=(const gpRawLink&) = delete;

  void Connect(const gpAddress& aAddress);
  /// Listens at a free port, for one connection.
  gpAddress Listen();
  /// Runs the loop until that connection is there.
  void WaitForConnection();

  void SendBytes(const std::string& aBytes);
  /// Sends the payload after its length.
  void SendPayload(const std::string& aPayload);
  /// Sends a frame with the link's number of a handshake that has ended.
  void SendFrame(std::uint64_t aSequence, std::vector<gpMessage> aMessages);
  /// Shakes hands as the dialing side, correctly.
  void ShakeHands(std::uint64_t aIncarnation);
  /// Runs the loop until the other side's hello is here.
  gpHello ReadHello();
  /// Runs the loop until the other side has closed.
  void WaitForClose();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
