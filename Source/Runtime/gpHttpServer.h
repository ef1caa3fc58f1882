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
 * \brief Bounds on what one caller can make a server hold.
 */
struct gpHttpLimits
{
  std::size_t headerBytes_ = 16U << 10U;
  std::size_t bodyBytes_ = 16U << 20U;
  /// Longest time from the first byte of a request to its last.
  gpMillis requestTime_{ 10000 };
  /// Longest time without a request on a kept connection.
  gpMillis idleTime_{ 60000 };
  std::size_t connections_ = 4096;
};

/** \class gpHttpServer
 * \brief Serves HTTP/1.1 with keep-alive; answers may be given later.
 *
 * A request that is malformed, too large or too slow is answered 400, 413,
 * 431 or 408 and its connection closed; others are not affected.
 */
class gpHttpServer
{
public:
  struct Handlers
  {
    /// A whole request. Answer it with Respond, now or later.
    std::function<void(gpRequestId, gpHttpRequest)> request_;
    /// The caller closed its connection before the answer was given. Not
    /// called after Respond.
    std::function<void(gpRequestId)> callerGone_;
  };

  gpHttpServer(gpEventLoop& aLoop, gpHttpLimits aLimits, Handlers aHandlers);
  ~gpHttpServer();
  gpHttpServer(const gpHttpServer&) = delete;
  gpHttpServer& operator=(const gpHttpServer&) = delete;

  /// Listens; port 0 takes a free one. Returns the address in use.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  /// Answers a request once; ignored if the caller is gone.
  void Respond(gpRequestId aRequest, gpHttpResponse aResponse);
  /// Whether the caller has closed or reset its connection already; callerGone
  /// follows on a later turn of the loop.
  bool HasCallerLeft(gpRequestId aRequest) const;
  /// Closes the connection of a request without an answer; callerGone isn't
  /// called. Ignored if the caller is gone.
  void Abort(gpRequestId aRequest);
  /// From now on closes each connection after its answer, so that callers come
  /// back over their balancer. New connections are taken, and closed alike.
  void CloseAfterAnswers();
  /// Takes no more connections; closes each kept one after its answer. The
  /// handler is called when all responses have been written.
  void Drain(std::function<void()> aDrained);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
