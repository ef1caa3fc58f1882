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
 * \brief A TCP connection that carries payloads, each after its length in four
 * bytes, little-endian. It knows nothing of what they mean.
 *
 * For .cxx files of this folder.
 */
class gpLinkConnection : public std::enable_shared_from_this<gpLinkConnection>
{
public:
  /** \class Limits
   * \brief Bounds on what the connection holds.
   */
  struct Limits
  {
    /// Longest payload that is accepted.
    std::size_t payloadBytes_ = 0;
    /// Most bytes that wait to be sent.
    std::size_t sendBytes_ = 0;
  };

  struct Handlers
  {
    /// A payload has arrived; valid during the call.
    std::function<void(std::string_view)> payload_;
    /// Bytes were handed to the system.
    std::function<void()> written_;
    /// The connection broke, or was closed over a limit. The last call.
    std::function<void(gpErrorCode)> closed_;
  };

  gpLinkConnection(boost::asio::ip::tcp::socket aSocket,
                   Limits aLimits,
                   Handlers aHandlers);

  /// Begins to read.
  void Start();
  /// For the payloads that follow the one being handled.
  void SetPayloadLimit(std::size_t aBytes) { limits_.payloadBytes_ = aBytes; }
  void Send(std::string aPayload);
  /// Closes without a call of a handler; none is called any more.
  void Close();

  /// All bytes given to Send so far, with the lengths.
  std::uint64_t GetQueuedBytes() const { return queuedBytes_; }
  /// Those of them that were handed to the system.
  std::uint64_t GetWrittenBytes() const { return writtenBytes_; }
  bool IsIdle() const { return queuedBytes_ == writtenBytes_; }
  std::uint64_t GetReceivedBytes() const { return receivedBytes_; }
  /// When the last byte came, or the connection was made.
  gpTime GetLastHeard() const { return lastHeard_; }

  static constexpr std::size_t kPrefixBytes = 4;

private:
  using Prefix = std::array<unsigned char, kPrefixBytes>;

  struct Chunk
  {
    Prefix prefix_{};
    std::string payload_;
  };

  void Read();
  void MakeRoom();
  void OnRead(std::size_t aBytes);
  bool TakePayload();
  void Write();
  void OnWritten(std::size_t aBytes);
  void Fail(gpErrorCode aCode);

  boost::asio::ip::tcp::socket socket_;
  Limits limits_;
  Handlers handlers_;
  bool closed_ = false;

  /// Received bytes that are not yet handled: those from begin_ to end_.
  std::vector<char> received_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::uint64_t receivedBytes_ = 0;
  gpTime lastHeard_;

  std::vector<Chunk> waiting_;
  std::vector<Chunk> writing_;
  std::uint64_t queuedBytes_ = 0;
  std::uint64_t writtenBytes_ = 0;
};
