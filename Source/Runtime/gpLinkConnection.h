#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "gpError.h"
#include "gpTime.h"

/** \class gpLinkConnection
 * \brief A TCP connection that carries opaque payloads, each preceded by its
 * length in four bytes, little-endian.
 *
 * Internal to this folder.
 */
class gpLinkConnection : public std::enable_shared_from_this<gpLinkConnection>
{
public:
  /** \class Limits
   * \brief Limits on the memory that the connection uses.
   */
  struct Limits
  {
    /// Largest payload that is accepted; a larger one closes the connection
    /// (FrameTooLarge).
    std::size_t payloadBytes_ = 0;
    /// Most bytes that may be queued to be sent; over it the connection is
    /// closed (SendBufferFull).
    std::size_t sendBytes_ = 0;
  };

  struct Handlers
  {
    /// A payload has arrived; the view is valid during the call only.
    std::function<void(std::string_view)> payload_;
    /// Bytes have been passed to the operating system; see GetWrittenBytes.
    std::function<void()> written_;
    /// GetBufferedBytes has changed.
    std::function<void()> buffered_;
    /// The connection broke, or was closed because a limit was exceeded. No
    /// handler is called afterwards.
    std::function<void(gpErrorCode)> closed_;
  };

  gpLinkConnection(boost::asio::ip::tcp::socket aSocket,
                   Limits aLimits,
                   Handlers aHandlers);

  /// Begins to receive.
  void Start();
  /// Changes the largest accepted payload, for payloads after the current one.
  void SetPayloadLimit(std::size_t aBytes) { limits_.payloadBytes_ = aBytes; }
  /// Queues a payload; ignored if the connection is closed.
  void Send(std::string aPayload);
  /// Closes the connection. No handler is called for it, nor afterwards.
  void Close();
  /// Closes the connection for this reason, and calls the closed_ handler.
  void Fail(gpErrorCode aCode);

  /// All bytes that Send has queued so far, with the length prefixes.
  std::uint64_t GetQueuedBytes() const { return queuedBytes_; }
  /// How many of them have been passed to the operating system.
  std::uint64_t GetWrittenBytes() const { return writtenBytes_; }
  /// Whether nothing is queued to be sent.
  bool IsIdle() const { return queuedBytes_ == writtenBytes_; }
  std::uint64_t GetReceivedBytes() const { return receivedBytes_; }
  /// Memory of payloads that are sent and of one that is received in parts,
  /// beyond what each connection has.
  std::size_t GetBufferedBytes() const;
  /// When the last bytes were received, at first when this object was created.
  gpTime GetLastReceived() const { return lastReceived_; }

  static constexpr std::size_t kPrefixBytes = 4;

private:
  using Prefix = std::array<unsigned char, kPrefixBytes>;

  struct Chunk
  {
    Prefix prefix_{};
    std::string payload_;
  };

  void Read();
  void EnsureReadSpace();
  void OnRead(std::size_t aBytes);
  bool HandleNextPayload();
  void Write();
  void OnWritten(std::size_t aBytes);

  boost::asio::ip::tcp::socket socket_;
  Limits limits_;
  Handlers handlers_;
  bool closed_ = false;

  /// Receive buffer; the bytes from begin_ to end_ have not been handled.
  std::vector<char> received_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::uint64_t receivedBytes_ = 0;
  gpTime lastReceived_;

  /// Payloads that wait for the end of the write in progress.
  std::vector<Chunk> queued_;
  /// Payloads of the write in progress.
  std::vector<Chunk> writing_;
  std::uint64_t queuedBytes_ = 0;
  std::uint64_t writtenBytes_ = 0;
};
