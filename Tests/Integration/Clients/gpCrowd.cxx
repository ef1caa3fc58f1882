#include "gpCrowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gpTestFailure.h"
#include "gpTestProcess.h"
#include "gpTestSocket.h"
#include "gpTime.h"

namespace {

using Clock = std::chrono::steady_clock;

/// Bytes that a connection sends at a time.
constexpr std::size_t kBlockBytes = 256U << 10U;
constexpr int kPollMs = 20;
/// Sending stops when nothing has been sent for so long.
constexpr gpMillis kStall{ 2000 };

void
MakeNonBlocking(int aSocket)
{
  fcntl(aSocket, F_SETFL, fcntl(aSocket, F_GETFL) | O_NONBLOCK);
}

bool
WouldBlock()
{
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

gpCrowd::gpCrowd(const gpAddress& aServer, gpCrowdPlan aPlan)
  : plan_(std::move(aPlan))
{
  while (!plan_.filler_.empty() && block_.size() < kBlockBytes) {
    block_ += plan_.filler_;
  }
  for (std::size_t i = 0; i < plan_.connections_; ++i) {
    Connection connection;
    connection.socket_ = gpConnectTestSocket(aServer);
    connection.head_ = plan_.greet_ ? plan_.greet_(connection.socket_)
                                    : plan_.heads_[i % plan_.heads_.size()];
    MakeNonBlocking(connection.socket_);
    connections_.push_back(std::move(connection));
  }
}

gpCrowd::~gpCrowd()
{
  Leave();
}

void
gpCrowd::Leave()
{
  for (Connection& connection : connections_) {
    if (connection.socket_ >= 0) {
      close(std::exchange(connection.socket_, -1));
    }
  }
}

bool
gpCrowd::IsSending(const Connection& aConnection) const
{
  const std::size_t all =
    plan_.filler_.empty() ? aConnection.head_.size() : plan_.bytesEach_;
  return aConnection.socket_ >= 0 && aConnection.sent_ < all;
}

std::string
gpCrowd::NextBytes(const Connection& aConnection) const
{
  const std::string& head = aConnection.head_;
  if (aConnection.sent_ < head.size()) {
    return head.substr(aConnection.sent_, kBlockBytes);
  }
  // Goes on where the last part ended within the filler.
  const std::size_t offset =
    (aConnection.sent_ - head.size()) % plan_.filler_.size();
  return block_.substr(offset, plan_.bytesEach_ - aConnection.sent_);
}

bool
gpCrowd::SendSome(Connection& aConnection)
{
  const std::string bytes = NextBytes(aConnection);
  const ssize_t count =
    send(aConnection.socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (count > 0) {
    aConnection.sent_ += static_cast<std::size_t>(count);
    return true;
  }
  if (!WouldBlock()) {
    close(std::exchange(aConnection.socket_, -1));
  }
  return false;
}

void
gpCrowd::ReadSome(Connection& aConnection)
{
  std::array<char, 16384> received{};
  const ssize_t count =
    recv(aConnection.socket_, received.data(), received.size(), 0);
  aConnection.received_ +=
    static_cast<std::size_t>(std::max<ssize_t>(count, 0));
  if (count == 0 || (count < 0 && !WouldBlock())) {
    close(std::exchange(aConnection.socket_, -1));
  }
}

void
gpCrowd::Send(const std::function<void()>& aWatch)
{
  auto lastProgress = Clock::now();
  const auto isSending = [this](const Connection& aConnection) {
    return IsSending(aConnection);
  };
  while (std::any_of(connections_.begin(), connections_.end(), isSending) &&
         Clock::now() - lastProgress < kStall) {
    std::vector<pollfd> events;
    for (const Connection& connection : connections_) {
      const int wanted =
        (IsSending(connection) ? POLLOUT : 0) | (plan_.reads_ ? POLLIN : 0);
      events.push_back({ connection.socket_, static_cast<short>(wanted), 0 });
    }
    poll(events.data(), events.size(), kPollMs);
    for (std::size_t i = 0; i < events.size(); ++i) {
      Connection& connection = connections_[i];
      const int seen = events[i].revents;
      if ((seen & POLLIN) != 0 || (seen & (POLLERR | POLLHUP)) != 0) {
        ReadSome(connection);
      }
      if ((seen & POLLOUT) != 0 && IsSending(connection) &&
          SendSome(connection)) {
        lastProgress = Clock::now();
      }
    }
    aWatch();
  }
}

void
gpCrowd::AwaitAnswers()
{
  const auto end = Clock::now() + kTestTimeout;
  const auto isWaiting = [](const Connection& aConnection) {
    return aConnection.socket_ >= 0 && aConnection.received_ == 0;
  };
  while (std::any_of(connections_.begin(), connections_.end(), isWaiting) &&
         Clock::now() < end) {
    for (Connection& connection : connections_) {
      if (isWaiting(connection)) {
        ReadSome(connection);
      }
    }
    std::this_thread::sleep_for(gpMillis(kPollMs));
  }
}
