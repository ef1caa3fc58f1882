#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "gpFaultQueue.h"
#include "gpTimerService.h"

/** \class gpFaultCounts
 * \brief Bytes received, forwarded, queued and dropped in one direction.
 */
struct gpFaultCounts
{
  std::uint64_t received_ = 0;
  std::uint64_t forwarded_ = 0;
  std::uint64_t waiting_ = 0;
  std::uint64_t dropped_ = 0;

  gpFaultCounts& operator+=(const gpFaultCounts& aOther);
};

/** \class gpFaultPipe
 * \brief Forwards one direction of a connection and applies the current fault.
 *
 * If writing to the destination fails, the source is still read to its end.
 */
class gpFaultPipe
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  struct Handlers
  {
    /// Called with the bytes of each read.
    std::function<void(const std::string&)> received_;
    /// Called when the end of the stream has been forwarded.
    std::function<void()> ended_;
  };

  gpFaultPipe(Socket& aFrom,
              Socket& aTo,
              gpTimerService& aTimers,
              Handlers aHandlers);
  ~gpFaultPipe();
  gpFaultPipe(const gpFaultPipe&) = delete;
  gpFaultPipe& operator=(const gpFaultPipe&) = delete;

  /// Starts to forward. The owner of the pipe and its sockets is kept alive
  /// while an operation on them is pending.
  void Start(const std::shared_ptr<void>& aOwner, gpFault aFault);
  /// Stops forwarding.
  void Stop();
  void SetFault(gpFault aFault);
  /// Sends the most recently forwarded chunk again.
  void Repeat();
  bool HasEnded() const { return ended_; }
  gpFaultCounts GetCounts() const;

private:
  static constexpr std::size_t kChunkBytes = 64U << 10U;

  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aSize);
  void Write();
  void WriteChunk(std::string aBytes);
  void WaitForDue();
  void End();

  Socket& from_;
  Socket& to_;
  gpTimerService& timers_;
  Handlers handlers_;
  std::weak_ptr<void> owner_;
  gpFaultQueue queue_;
  gpFaultCounts counts_;
  std::array<char, kChunkBytes> buffer_{};
  /// The chunk that is being written, or the last one written.
  std::string current_;
  gpTimerId timer_;
  bool paused_ = false;
  bool writing_ = false;
  bool writeFailed_ = false;
  bool ended_ = false;
  bool stopped_ = false;
};
