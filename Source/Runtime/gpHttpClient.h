#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <absl/status/statusor.h>

#include "gpHttpMessage.h"
#include "gpIds.h"
#include "gpStrongType.h"
#include "gpTime.h"

class gpEventLoop;

/// Identifies a call of one gpHttpClient.
using gpCallId = gpStrongType<struct gpCallIdTag, std::uint64_t>;

/** \class gpHttpReply
 * \brief The result of an HTTP call.
 */
struct gpHttpReply
{
  /// The response, whatever its status code, or why there is none.
  absl::StatusOr<gpHttpResponse> response_;
  /// False only if it is certain that no byte of the request was sent, so that
  /// the server can't have processed it.
  bool sent_ = false;
  /// Time from the start of sending to the end of the call; 0 if nothing was
  /// sent.
  gpMicros duration_{ 0 };
};

/** \class gpHttpClient
 * \brief HTTP/1.1 client with persistent connections.
 *
 * A request is never sent twice. If a persistent connection turns out to be
 * closed before the first byte of a request was written, the request is sent on
 * another connection.
 */
class gpHttpClient
{
public:
  using Handler = std::function<void(gpHttpReply)>;

  /// Opens up to aConnectionsPerAddress connections to each server; further
  /// calls to it wait for a free one.
  gpHttpClient(gpEventLoop& aLoop, std::size_t aConnectionsPerAddress);
  ~gpHttpClient();
  gpHttpClient(const gpHttpClient&) = delete;
  gpHttpClient& operator=(const gpHttpClient&) = delete;

  /// Sends the request to aServer. Calls the handler once, later, also on
  /// failure: BadArgument (aServer is no address), ConnectRefused,
  /// ConnectTimeout, HttpFailure (the connection broke or the response is not
  /// valid HTTP), HttpTimeout (no response within aTimeout, which includes the
  /// wait for a free connection) or Io (no file descriptor left).
  gpCallId Call(const gpAddress& aServer,
                gpHttpRequest aRequest,
                gpMillis aTimeout,
                Handler aHandler);
  /// Abandons a call: closes its connection and doesn't call its handler. Ids
  /// of ended calls are ignored.
  void Cancel(gpCallId aCall);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
