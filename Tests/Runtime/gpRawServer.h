#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "gpIds.h"

class gpEventLoop;

/** \class gpRawServer
 * \brief A TCP server that answers with any bytes, as a test says.
 */
class gpRawServer
{
public:
  explicit gpRawServer(gpEventLoop& aLoop);
  ~gpRawServer();
  gpRawServer(const gpRawServer&) = delete;
  gpRawServer& operator=(const gpRawServer&) = delete;

  /// Until it is called, connections to the address are refused.
  void Listen();
  gpAddress GetAddress() const;
  /// Bytes received, by connection, in the order of their acceptance.
  const std::vector<std::string>& GetReceived() const;
  bool IsClosedByPeer(std::size_t aConnection) const;
  void Send(std::size_t aConnection, const std::string& aBytes);
  void Close(std::size_t aConnection);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
