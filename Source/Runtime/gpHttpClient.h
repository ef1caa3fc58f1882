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

using gpCallId = gpStrongType<struct gpCallIdTag, std::uint64_t>;

/** \class gpHttpReply
 * \brief How a call over HTTP ended.
 */
struct gpHttpReply
{
  absl::StatusOr<gpHttpResponse> response_;
  /// False only if it's certain that no byte of the request was sent.
  bool sent_ = false;
  /// From the first byte sent to the last byte received.
  gpMicros duration_{ 0 };
};

/** \class gpHttpClient
 * \brief Calls HTTP/1.1 servers over kept connections.
 *
 * A request is never sent twice. On a kept connection that turns out closed
 * before the first byte of a request was written, a new one is opened.
 */
class gpHttpClient
{
public:
  using Handler = std::function<void(gpHttpReply)>;

  /// At most so many connections for each address; further calls wait.
  gpHttpClient(gpEventLoop& aLoop, std::size_t aConnectionsPerAddress);
  ~gpHttpClient();
  gpHttpClient(const gpHttpClient&) = delete;
  gpHttpClient& operator=(const gpHttpClient&) = delete;

  /// Calls the handler once, also after a timeout (HttpTimeout), a refused
  /// connection (ConnectRefused) or a broken exchange (HttpFailure).
  gpCallId Call(const gpAddress& aServer,
                gpHttpRequest aRequest,
                gpMillis aTimeout,
                Handler aHandler);
  /// Ends a call; its connection is closed. Its handler isn't called.
  void Cancel(gpCallId aCall);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
