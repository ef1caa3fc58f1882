#include "gpTestHttp.h"

#include <thread>
#include <utility>

#include "gpError.h"
#include "gpEventLoop.h"

namespace {

constexpr std::size_t kConnectionsPerAddress = 1024;

/** \class PendingCall
 * \brief Sets the reply once: that of the server or, if the call is cancelled
 * first, HttpFailure. Used on the thread of the event loop only.
 */
struct PendingCall
{
  std::promise<gpHttpReply> promise_;
  gpCallId id_;
  bool done_ = false;

  void Settle(gpHttpReply aReply)
  {
    if (!std::exchange(done_, true)) {
      promise_.set_value(std::move(aReply));
    }
  }
};

gpHttpReply
Cancelled()
{
  return { .response_ =
             gpMakeError(gpErrorCode::HttpFailure, "cancelled by the test") };
}

} // namespace

struct gpTestHttp::Impl
{
  gpEventLoop loop_;
  gpHttpClient client_{ loop_, kConnectionsPerAddress };
  std::thread thread_{ [this] { loop_.Run(); } };
};

gpTestHttp::gpTestHttp()
  : impl_(std::make_unique<Impl>())
{
}

gpTestHttp::~gpTestHttp()
{
  // Posted, because Stop has no effect if the thread hasn't entered Run yet.
  impl_->loop_.Post([this] { impl_->loop_.Stop(); });
  impl_->thread_.join();
}

gpTestCall
gpTestHttp::Call(const gpAddress& aServer,
                 gpHttpRequest aRequest,
                 gpMillis aTimeout)
{
  const auto pending = std::make_shared<PendingCall>();
  gpTestCall call{ .reply_ = pending->promise_.get_future(),
                   .cancel_ = [this, pending] {
                     impl_->loop_.Post([this, pending] {
                       impl_->client_.Cancel(pending->id_);
                       pending->Settle(Cancelled());
                     });
                   } };
  impl_->loop_.Post(
    [this, pending, aServer, request = std::move(aRequest), aTimeout] {
      pending->id_ = impl_->client_.Call(
        aServer, request, aTimeout, [pending](gpHttpReply aReply) {
          pending->Settle(std::move(aReply));
        });
    });
  return call;
}

gpHttpReply
gpTestHttp::Post(const gpAddress& aServer,
                 const std::string& aTarget,
                 const std::string& aBody,
                 const std::map<std::string, std::string>& aHeaders)
{
  return Call(aServer,
              { .method_ = "POST",
                .target_ = aTarget,
                .headers_ = aHeaders,
                .body_ = aBody })
    .reply_.get();
}

gpHttpReply
gpTestHttp::Get(const gpAddress& aServer,
                const std::string& aTarget,
                const std::map<std::string, std::string>& aHeaders)
{
  return Call(aServer,
              { .method_ = "GET",
                .target_ = aTarget,
                .headers_ = aHeaders,
                .body_ = "" })
    .reply_.get();
}

int
gpStatusOf(const gpHttpReply& aReply)
{
  return aReply.response_.ok() ? aReply.response_->status_ : 0;
}

std::string
gpBodyOf(const gpHttpReply& aReply)
{
  return aReply.response_.ok() ? aReply.response_->body_ : "";
}
