#include "gpRawSocket.h"

#include <array>
#include <cerrno>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "gpTestFailure.h"
#include "gpTestProcess.h"
#include "gpTestSocket.h"

gpRawSocket::gpRawSocket(const gpAddress& aServer)
  : socket_(gpConnectTestSocket(aServer))
{
  const timeval timeout{ kTestTimeout.count() / 1000, 0 };
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
}

gpRawSocket::~gpRawSocket()
{
  close(socket_);
}

bool
gpRawSocket::Send(const std::string& aBytes) const
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(socket_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string
gpRawSocket::ReadToEnd() const
{
  std::string text;
  std::array<char, 4096> part{};
  for (;;) {
    const ssize_t count = recv(socket_, part.data(), part.size(), 0);
    if (count > 0) {
      text.append(part.data(), static_cast<std::size_t>(count));
    } else if (count < 0 && errno == EAGAIN) {
      throw gpTestFailure("the server neither answers nor closes");
    } else {
      return text;
    }
  }
}
