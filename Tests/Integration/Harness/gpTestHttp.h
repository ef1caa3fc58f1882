#pragma once

#include <functional>
#include <future>
#include <memory>
#include <string>

#include "gpHttpClient.h"
#include "gpIds.h"
#include "gpTestProcess.h"

/** \class gpTestCall
 * \brief An HTTP call whose reply may still be pending.
 */
struct gpTestCall
{
  std::future<gpHttpReply> reply_;
  /// Cancels the call and sets the reply to HttpFailure, if there is none yet.
  std::function<void()> cancel_;
};

/** \class gpTestHttp
 * \brief An HTTP client for tests: a gpHttpClient with a thread of its own.
 */
class gpTestHttp
{
public:
  gpTestHttp();
  ~gpTestHttp();
  gpTestHttp(const gpTestHttp&) = delete;
  gpTestHttp& operator=(const gpTestHttp&) = delete;

  gpTestCall Call(const gpAddress& aServer,
                  gpHttpRequest aRequest,
                  gpMillis aTimeout = kTestTimeout);
  /// Sends a request and waits for the reply.
  gpHttpReply Post(const gpAddress& aServer,
                   const std::string& aTarget,
                   const std::string& aBody,
                   const std::map<std::string, std::string>& aHeaders = {});
  gpHttpReply Get(const gpAddress& aServer,
                  const std::string& aTarget,
                  const std::map<std::string, std::string>& aHeaders = {});

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// The HTTP status; 0 if there was no reply.
int
gpStatusOf(const gpHttpReply& aReply);
/// The HTTP body; empty if there was no reply.
std::string
gpBodyOf(const gpHttpReply& aReply);
