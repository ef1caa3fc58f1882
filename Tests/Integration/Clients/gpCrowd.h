#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gpIds.h"

/** \class gpCrowdPlan
 * \brief What each connection of a gpCrowd sends.
 */
struct gpCrowdPlan
{
  std::size_t connections_ = 0;
  /// Sent first: connection i sends the one at i modulo their number.
  std::vector<std::string> heads_;
  /// Repeated after it, until the connection has sent bytesEach_. Nothing is
  /// repeated if it's empty.
  std::string filler_{};
  /// Most bytes that a connection sends, the head included.
  std::size_t bytesEach_ = 0;
  /// Whether the connections read what they receive, as callers do.
  bool reads_ = true;
  /// If set, reads from a new socket what the server sends first, and returns
  /// what its connection sends in place of a head.
  std::function<std::string(int aSocket)> greet_{};
};

/** \class gpCrowd
 * \brief Many connections to one server that send the same bytes and stay open
 * as long as the server lets them.
 *
 * It ends by itself: the bytes are bounded, and sending stops when no
 * connection has got anything sent for some time.
 */
class gpCrowd
{
public:
  gpCrowd(const gpAddress& aServer, gpCrowdPlan aPlan);
  ~gpCrowd();
  gpCrowd(const gpCrowd&) = delete;
  gpCrowd& operator=(const gpCrowd&) = delete;

  /// Sends until each connection has sent all or was closed by the server, or
  /// none gets on any more. Calls aWatch again and again meanwhile.
  void Send(const std::function<void()>& aWatch);
  /// Reads until each connection has received something or was closed by the
  /// server, or kTestTimeout has passed.
  void AwaitAnswers();
  /// Closes all connections.
  void Leave();

private:
  struct Connection
  {
    int socket_ = -1;
    std::size_t sent_ = 0;
    std::size_t received_ = 0;
    std::string head_;
  };

  /// Sends as much as the socket takes; returns whether that was anything.
  bool SendSome(Connection& aConnection);
  void ReadSome(Connection& aConnection);
  bool IsSending(const Connection& aConnection) const;
  /// The next bytes of a connection.
  std::string NextBytes(const Connection& aConnection) const;

  gpCrowdPlan plan_;
  /// Many copies of the filler.
  std::string block_;
  std::vector<Connection> connections_;
};
