#pragma once

#include <string>

#include "gpIds.h"

/** \class gpRawSocket
 * \brief A TCP connection over which a test sends any bytes. All throw
 * gpTestFailure.
 */
class gpRawSocket
{
public:
  explicit gpRawSocket(const gpAddress& aServer);
  ~gpRawSocket();
  gpRawSocket(const gpRawSocket&) = delete;
  gpRawSocket& operator=(const gpRawSocket&) = delete;

  /// Sends as much as the server takes; false if it has closed.
  bool Send(const std::string& aBytes) const;
  /// What the server sends until it closes, or resets the connection.
  std::string ReadToEnd() const;

private:
  int socket_;
};
