#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <absl/status/statusor.h>

#include "gpHttpMessage.h"
#include "gpIds.h"
#include "gpTime.h"

class gpEventLoop;

/** \class gpHttpLimits
 * \brief Limits on the resources that callers can make a server use.
 */
struct gpHttpLimits
{
  /// Largest header of a request, with the request line; 431 if it is larger.
  /// The same holds for the trailers of a chunked body and for the line before
  /// each chunk.
  std::size_t headerBytes_ = 16U << 10U;
  /// Largest body of a request; 413 if it is larger.
  std::size_t bodyBytes_ = 16U << 20U;
  /// Longest time from the first byte of a request to its last; 408 if it takes
  /// longer.
  gpMillis requestTime_{ 10000 };
  /// Longest time that a connection may be idle between requests, or that
  /// writing a response may take.
  gpMillis idleTime_{ 60000 };
  /// Connections that are served at a time. A further one takes the place of
  /// the one that has waited for its caller the longest, or is answered 503 if
  /// all wait for the answers to their requests.
  std::size_t connections_ = 4096;
  /// Most bytes that all connections together keep for their callers: parts of
  /// requests, requests that haven't been answered, and responses that haven't
  /// been read. Over it, connections that wait for their callers are closed,
  /// the longest waiting first; if that isn't enough, the request is answered
  /// 503.
  std::size_t memoryBytes_ = 64U << 20U;
};

/// A limit on all connections together that has been reached.
enum class gpHttpLimitKind
{
  Connections, ///< gpHttpLimits::connections_
  Memory,      ///< gpHttpLimits::memoryBytes_
};

/** \class gpHttpServer
 * \brief HTTP/1.1 server with persistent connections; requests are answered
 * asynchronously.
 *
 * A request that is malformed, too large or too slow is answered 400, 413, 431
 * or 408 and its connection closed; other connections are not affected.
 */
class gpHttpServer
{
public:
  struct Handlers
  {
    /// A complete request has arrived. Answer it with Respond, now or later.
    std::function<void(gpRequestId, gpHttpRequest)> request_;
    /// The caller has closed its connection before its request was answered.
    /// Not called after Respond or Abort. May be empty.
    std::function<void(gpRequestId)> callerDisconnected_;
    /// A connection was closed or a request refused because of a limit on all
    /// connections together. May be empty.
    std::function<void(gpHttpLimitKind)> limitReached_{};
  };

  gpHttpServer(gpEventLoop& aLoop, gpHttpLimits aLimits, Handlers aHandlers);
  ~gpHttpServer();
  gpHttpServer(const gpHttpServer&) = delete;
  gpHttpServer& operator=(const gpHttpServer&) = delete;

  /// Starts to listen; port 0 selects a free port. Returns the address in use;
  /// fails with BadArgument (not an address) or Io.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  /// Sends the response to a request. Ignored if the caller has disconnected or
  /// the request has been answered.
  void Respond(gpRequestId aRequest, gpHttpResponse aResponse);
  /// Whether the caller has closed or reset its connection, as known to the
  /// operating system now; the callerDisconnected_ handler is called by a later
  /// iteration of the loop. Also true if the request has been answered.
  bool IsCallerDisconnected(gpRequestId aRequest) const;
  /// Closes the connection of a request without a response; callerDisconnected_
  /// isn't called. Ignored if the caller has disconnected.
  void Abort(gpRequestId aRequest);
  /// From now on closes each connection after its next response, so that
  /// callers reconnect through their load balancer. New connections are still
  /// accepted, and closed after their first response.
  void CloseAfterAnswers();
  /// Stops listening; closes each connection after its pending response, or if
  /// no request arrives within a short grace period. The handler is called when
  /// all responses have been written.
  void Drain(std::function<void()> aDrained);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
