#pragma once

#include <string>

#include "gpIds.h"

/** \class gpRawSocket
 * \brief A TCP connection over which a test sends arbitrary bytes. The
 * constructor and ReadToEnd throw gpTestFailure.
 */
class gpRawSocket
{
public:
  explicit gpRawSocket(const gpAddress& aServer);
  ~gpRawSocket();
  gpRawSocket(const gpRawSocket&) = delete;
  gpRawSocket& operator=(const gpRawSocket&) = delete;

  /// Sends the bytes; false if the connection fails before all are sent.
  bool Send(const std::string& aBytes) const;
  /// All bytes that the server sends until it closes or resets the connection.
  std::string ReadToEnd() const;

private:
  int socket_;
};
