#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "gpFaultPipe.h"

/** \class gpFaults
 * \brief The faults in force for both directions.
 */
struct gpFaults
{
  gpFault toServer_;
  gpFault toClient_;
};

/** \class gpFaultConnection
 * \brief A client's connection and the one to the server that belongs to it.
 *
 * Ends when both streams have been forwarded to their ends, so bytes that are
 * held reach the server also after the client has gone.
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

  /// Connects to the server and forwards; resets the client if that fails.
  void Start(const Endpoint& aServer, gpFaults aFaults);
  /// Resets both connections; the ended handler isn't called.
  void Cut();
  void SetFaults(gpFaults aFaults);
  /// Where the bytes that the client sends are kept; null: nowhere.
  void SetRecord(std::shared_ptr<std::string> aRecord);
  /// Sends the last chunk to the server once more.
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
