#include "gpFaultConnection.h"

#include <utility>

namespace {

/// Closes the socket with RST instead of FIN.
void
Reset(boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

gpFaultConnection::gpFaultConnection(Socket aClient,
                                     gpTimerService& aTimers,
                                     EndedHandler aEnded)
  : client_(std::move(aClient))
  , server_(client_.get_executor())
  , ended_(std::move(aEnded))
  , toServer_(client_,
              server_,
              aTimers,
              { .received_ =
                  [this](const std::string& aBytes) {
                    if (record_) {
                      *record_ += aBytes;
                    }
                  },
                .ended_ = [this] { OnPipeEnded(); } })
  , toClient_(server_,
              client_,
              aTimers,
              { .received_ = [](const std::string&) {},
                .ended_ = [this] { OnPipeEnded(); } })
{
}

void
gpFaultConnection::Start(const Endpoint& aServer, gpFaults aFaults)
{
  faults_ = aFaults;
  server_.async_connect(
    aServer,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      self->OnConnected(aError);
    });
}

void
gpFaultConnection::Cut()
{
  cut_ = true;
  toServer_.Stop();
  toClient_.Stop();
  Reset(client_);
  Reset(server_);
}

void
gpFaultConnection::SetFaults(gpFaults aFaults)
{
  faults_ = aFaults;
  if (connected_) {
    toServer_.SetFault(aFaults.toServer_);
    toClient_.SetFault(aFaults.toClient_);
  }
}

void
gpFaultConnection::SetRecord(std::shared_ptr<std::string> aRecord)
{
  record_ = std::move(aRecord);
}

void
gpFaultConnection::OnConnected(const boost::system::error_code& aError)
{
  if (cut_) {
    return;
  }
  if (aError) {
    Cut();
    ended_(shared_from_this());
    return;
  }
  connected_ = true;
  boost::system::error_code ignored;
  client_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  server_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  toServer_.Start(shared_from_this(), faults_.toServer_);
  toClient_.Start(shared_from_this(), faults_.toClient_);
}

void
gpFaultConnection::OnPipeEnded()
{
  if (toServer_.HasEnded() && toClient_.HasEnded()) {
    toServer_.Stop();
    toClient_.Stop();
    boost::system::error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
    ended_(shared_from_this());
  }
}
