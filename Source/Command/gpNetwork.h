#pragma once

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpTimerService.h"

/** \class gpServerRequest
 * \brief A request with the server that it goes to.
 */
struct gpServerRequest
{
  gpAddress server_;
  gpHttpRequest request_;
};

/** \class gpNetwork
 * \brief An event loop with clients, for a program that waits for each answer.
 */
class gpNetwork
{
public:
  gpNetwork();

  /// Starts something that ends by calling a handler, and runs the loop until
  /// then.
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
  /// Calls all servers at once; the replies are in the order of the requests.
  std::vector<gpHttpReply> CallAll(
    const std::vector<gpServerRequest>& aRequests,
    gpMillis aTimeout);
  void Pause(gpMillis aTime);

  gpEventLoop& GetLoop() { return loop_; }
  gpTimerService& GetTimers() { return timers_; }
  gpHttpClient& GetHttp() { return http_; }

private:
  gpEventLoop loop_;
  gpTimerService timers_;
  gpHttpClient http_;
};
