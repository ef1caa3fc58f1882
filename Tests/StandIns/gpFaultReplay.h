#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

/** \class gpFaultReplay
 * \brief Sends recorded bytes to a server on a separate connection.
 */
class gpFaultReplay : public std::enable_shared_from_this<gpFaultReplay>
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// Called when the server has closed the connection or the connect failed.
  using EndedHandler = std::function<void()>;

  gpFaultReplay(const Socket::executor_type& aExecutor,
                std::string aBytes,
                EndedHandler aEnded);

  void Start(const Endpoint& aServer);

private:
  static constexpr std::size_t kBufferBytes = 4096;

  void Write();
  void Read();

  Socket server_;
  std::string bytes_;
  EndedHandler ended_;
  std::array<char, kBufferBytes> buffer_{};
};
