#pragma once

#include <functional>
#include <future>
#include <memory>
#include <string>

#include "gpHttpClient.h"
#include "gpIds.h"
#include "gpTestProcess.h"

/** \class gpTestCall
 * \brief An HTTP call under way.
 */
struct gpTestCall
{
  std::future<gpHttpReply> reply_;
  /// Closes the connection; the reply is then HttpFailure.
  std::function<void()> cancel_;
};

/** \class gpTestHttp
 * \brief HTTP for tests: gpHttpClient on a thread of its own.
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
                  gpMillis aTimeout = kTestPatience);
  /// Sends and waits for the reply.
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

/// The reply's status; 0 if there was no reply.
int
gpStatusOf(const gpHttpReply& aReply);
/// The reply's body; empty if there was no reply.
std::string
gpBodyOf(const gpHttpReply& aReply);
