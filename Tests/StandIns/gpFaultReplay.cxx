#include "gpFaultReplay.h"

#include <utility>

#include <boost/asio/write.hpp>

gpFaultReplay::gpFaultReplay(const Socket::executor_type& aExecutor,
                             std::string aBytes,
                             EndedHandler aEnded)
  : server_(aExecutor)
  , bytes_(std::move(aBytes))
  , ended_(std::move(aEnded))
{
}

void
gpFaultReplay::Start(const Endpoint& aServer)
{
  server_.async_connect(
    aServer,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (aError) {
        self->ended_();
        return;
      }
      self->Write();
      self->Read();
    });
}

void
gpFaultReplay::Write()
{
  // Write errors are ignored: the pending read reports the failure as well.
  boost::asio::async_write(server_,
                           boost::asio::buffer(bytes_),
                           [self = shared_from_this()](
                             const boost::system::error_code&, std::size_t) {});
}

void
gpFaultReplay::Read()
{
  server_.async_read_some(
    boost::asio::buffer(buffer_),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t /*aSize*/) {
      if (aError) {
        self->ended_();
        return;
      }
      self->Read();
    });
}
