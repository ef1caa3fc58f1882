#include "gpFaultPipe.h"

#include <optional>
#include <utility>

#include <boost/asio/write.hpp>

#include "gpEventLoop.h"

namespace {

/// Reading from the source is paused while this many bytes are queued.
constexpr std::size_t kMaxWaitingBytes = 64U << 20U;

} // namespace

gpFaultCounts&
gpFaultCounts::operator+=(const gpFaultCounts& aOther)
{
  received_ += aOther.received_;
  forwarded_ += aOther.forwarded_;
  waiting_ += aOther.waiting_;
  dropped_ += aOther.dropped_;
  return *this;
}

gpFaultPipe::gpFaultPipe(Socket& aFrom,
                         Socket& aTo,
                         gpTimerService& aTimers,
                         Handlers aHandlers)
  : from_(aFrom)
  , to_(aTo)
  , timers_(aTimers)
  , handlers_(std::move(aHandlers))
{
}

gpFaultPipe::~gpFaultPipe()
{
  Stop();
}

void
gpFaultPipe::Start(const std::shared_ptr<void>& aOwner, gpFault aFault)
{
  owner_ = aOwner;
  queue_.SetFault(aFault, gpEventLoop::Now());
  Read();
}

void
gpFaultPipe::Stop()
{
  if (!stopped_) {
    stopped_ = true;
    timers_.Cancel(timer_);
  }
}

void
gpFaultPipe::SetFault(gpFault aFault)
{
  queue_.SetFault(aFault, gpEventLoop::Now());
  Write();
}

void
gpFaultPipe::Repeat()
{
  // If the chunk is still being written, its copy is queued behind it.
  if (!current_.empty()) {
    queue_.Put({ .bytes_ = current_ }, gpEventLoop::Now());
    Write();
  }
}

gpFaultCounts
gpFaultPipe::GetCounts() const
{
  gpFaultCounts counts = counts_;
  counts.waiting_ = queue_.WaitingBytes();
  counts.dropped_ = queue_.DroppedBytes();
  return counts;
}

void
gpFaultPipe::Read()
{
  paused_ = queue_.WaitingBytes() >= kMaxWaitingBytes;
  if (paused_) {
    return;
  }
  from_.async_read_some(boost::asio::buffer(buffer_),
                        [this, owner = owner_.lock()](
                          const boost::system::error_code& aError,
                          std::size_t aSize) { OnRead(aError, aSize); });
}

void
gpFaultPipe::OnRead(const boost::system::error_code& aError, std::size_t aSize)
{
  if (stopped_) {
    return;
  }
  if (aError) {
    queue_.Put({ .end_ = true }, gpEventLoop::Now());
    Write();
    return;
  }
  std::string bytes(buffer_.data(), aSize);
  counts_.received_ += aSize;
  handlers_.received_(bytes);
  queue_.Put({ .bytes_ = std::move(bytes) }, gpEventLoop::Now());
  Write();
  Read();
}

void
gpFaultPipe::Write()
{
  while (!writing_ && !stopped_ && !ended_) {
    std::optional<gpFaultChunk> chunk = queue_.Take(gpEventLoop::Now());
    if (!chunk) {
      WaitForDue();
      if (paused_) {
        Read();
      }
      return;
    }
    if (chunk->end_) {
      End();
    } else if (!writeFailed_) {
      WriteChunk(std::move(chunk->bytes_));
    }
  }
}

void
gpFaultPipe::WriteChunk(std::string aBytes)
{
  writing_ = true;
  current_ = std::move(aBytes);
  boost::asio::async_write(
    to_,
    boost::asio::buffer(current_),
    [this, owner = owner_.lock()](const boost::system::error_code& aError,
                                  std::size_t aSize) {
      writing_ = false;
      counts_.forwarded_ += aSize;
      writeFailed_ = static_cast<bool>(aError);
      Write();
    });
}

void
gpFaultPipe::WaitForDue()
{
  timers_.Cancel(timer_);
  const std::optional<gpTime> due = queue_.NextDue();
  if (due) {
    timer_ =
      timers_.Subscribe(*due, [this, owner = owner_.lock()] { Write(); });
  }
}

void
gpFaultPipe::End()
{
  boost::system::error_code ignored;
  to_.shutdown(Socket::shutdown_send, ignored);
  ended_ = true;
  handlers_.ended_();
}
