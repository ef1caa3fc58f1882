#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "gpFaultPipe.h"

/** \class gpFaults
 * \brief The faults that are injected in each direction.
 */
struct gpFaults
{
  gpFault toServer_;
  gpFault toClient_;
};

/** \class gpFaultConnection
 * \brief A client connection and the matching connection to the server.
 *
 * The connection ends when both directions have been forwarded up to the end of
 * their streams. Held bytes thus reach the server even after the client has
 * disconnected.
 */
class gpFaultConnection : public std::enable_shared_from_this<gpFaultConnection>
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using EndedHandler =
    std::function<void(const std::shared_ptr<gpFaultConnection>&)>;

  gpFaultConnection(Socket aClient,
                    gpTimerService& aTimers,
                    EndedHandler aEnded);

  /// Connects to the server and starts to forward. If the connect fails, the
  /// client connection is reset.
  void Start(const Endpoint& aServer, gpFaults aFaults);
  /// Resets both connections. The ended handler is not called.
  void Cut();
  void SetFaults(gpFaults aFaults);
  /// Sets the buffer that records the bytes from the client; null disables
  /// recording.
  void SetRecord(std::shared_ptr<std::string> aRecord);
  /// Sends the most recent chunk to the server again.
  void Repeat() { toServer_.Repeat(); }
  gpFaultCounts CountsToServer() const { return toServer_.GetCounts(); }
  gpFaultCounts CountsToClient() const { return toClient_.GetCounts(); }

private:
  void OnConnected(const boost::system::error_code& aError);
  void OnPipeEnded();

  Socket client_;
  Socket server_;
  EndedHandler ended_;
  gpFaults faults_;
  bool connected_ = false;
  bool cut_ = false;
  std::shared_ptr<std::string> record_;
  gpFaultPipe toServer_;
  gpFaultPipe toClient_;
};
