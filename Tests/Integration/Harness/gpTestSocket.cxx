#include "gpTestSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gpTestFailure.h"

namespace {

sockaddr_in
ToSocketAddress(const gpAddress& aServer)
{
  const std::size_t colon = aServer.value_.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(
    static_cast<std::uint16_t>(std::stoi(aServer.value_.substr(colon + 1))));
  inet_pton(
    AF_INET, aServer.value_.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

} // namespace

int
gpConnectTestSocket(const gpAddress& aServer)
{
  const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocketAddress(aServer);
  if (connect(connected,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(connected);
    throw gpTestFailure("can't connect to " + aServer.value_);
  }
  return connected;
}
