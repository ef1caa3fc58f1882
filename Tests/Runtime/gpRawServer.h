#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "gpIds.h"

class gpEventLoop;

/** \class gpRawServer
 * \brief A TCP server that sends the bytes that a test gives it.
 */
class gpRawServer
{
public:
  explicit gpRawServer(gpEventLoop& aLoop);
  ~gpRawServer();
  gpRawServer(const gpRawServer&) = delete;
  gpRawServer& operator=(const gpRawServer&) = delete;

  /// Before this call, connections to the address are refused.
  void Listen();
  gpAddress GetAddress() const;
  /// The bytes received on each connection; connections are numbered in the
  /// order in which they were accepted.
  const std::vector<std::string>& GetReceived() const;
  bool IsClosedByPeer(std::size_t aConnection) const;
  void Send(std::size_t aConnection, const std::string& aBytes);
  void Close(std::size_t aConnection);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
