#pragma once

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpTimerService.h"

/** \class gpServerRequest
 * \brief An HTTP request and the address of its server.
 */
struct gpServerRequest
{
  gpAddress server_;
  gpHttpRequest request_;
};

/** \class gpBlockingNetwork
 * \brief Blocking network calls, made with the asynchronous clients of an event
 * loop that runs only during a call.
 */
class gpBlockingNetwork
{
public:
  gpBlockingNetwork();

  /// Starts an asynchronous operation, runs the event loop until the operation
  /// calls its completion handler, and returns the handler's argument.
  template<typename Result>
  Result Await(const std::function<void(std::function<void(Result)>)>& aStart)
  {
    std::optional<Result> result;
    aStart([&](Result aResult) {
      result = std::move(aResult);
      loop_.Stop();
    });
    while (!result.has_value()) {
      loop_.Run();
    }
    return *std::move(result);
  }

  gpHttpReply Call(const gpServerRequest& aRequest, gpMillis aTimeout);
  /// Sends all requests concurrently and waits for all replies, which are
  /// returned in the order of the requests.
  std::vector<gpHttpReply> CallAll(
    const std::vector<gpServerRequest>& aRequests,
    gpMillis aTimeout);
  /// Blocks for this time.
  void Pause(gpMillis aTime);

  gpEventLoop& GetLoop() { return loop_; }
  gpTimerService& GetTimers() { return timers_; }
  gpHttpClient& GetHttp() { return http_; }

private:
  gpEventLoop loop_;
  gpTimerService timers_;
  gpHttpClient http_;
};
