#include "gpLinkService.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gpEventLoop.h"
#include "gpLinkAcceptor.h"
#include "gpLinkDialer.h"
#include "gpLinkFlush.h"
#include "gpLinkSession.h"

using boost::asio::ip::tcp;

namespace {

bool
IsProtocolViolation(gpErrorCode aCode, bool aWasUp)
{
  switch (aCode) {
    case gpErrorCode::BadFrame:
    case gpErrorCode::FrameOutOfOrder:
    case gpErrorCode::ProtocolMismatch:
    case gpErrorCode::ReplayedLink:
      return true;
    case gpErrorCode::FrameTooLarge:
      // On a link that was up, the frame may also be one that this side was
      // about to send.
      return !aWasUp;
    default:
      return false;
  }
}

} // namespace

struct gpLinkService::Impl
  : public gpLinkObserver
  , public std::enable_shared_from_this<gpLinkService::Impl>
{
  Impl(gpLinkContext aContext, Handlers aHandlers)
    : context_(std::move(aContext))
    , handlers_(std::move(aHandlers))
  {
  }

  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  void Watch(const gpAddress& aAddress);
  void Unwatch(const gpAddress& aAddress);
  void Send(gpLinkId aLink, gpMessage aMessage);
  void Close(gpLinkId aLink);
  void Flush(std::function<void()> aFlushed);
  void Shutdown();

  void OnLinkUp(gpLinkSession& aSession) override;
  void OnLinkMessage(gpLinkSession& aSession, gpMessage aMessage) override;
  void OnLinkWritten(gpLinkSession& aSession) override;
  void OnLinkBuffered(gpLinkSession& aSession) override;
  void OnLinkClosed(gpLinkSession& aSession, gpErrorCode aCode) override;

  gpLinkDialer::Handlers MakeDialerHandlers(const gpAddress& aAddress);
  gpLinkId AddSession(tcp::socket aSocket, std::optional<gpAddress> aDialed);
  void OnDialed(const gpAddress& aAddress, tcp::socket aSocket);
  void OnAccepted(tcp::socket aSocket);
  void CloseEarlierLink(gpIncarnation aIncarnation);
  /// Closes the links with the most buffered bytes until all together are
  /// within the limit.
  void LimitMemory();
  void NoteLimit(gpLinkLimitKind aLimit);
  void RemoveSession(const gpLinkSession& aSession);
  void SendQueuedMessages();
  void AddFlushWaiter(std::function<void()> aFlushed);
  /// Calls the task in a later iteration of the loop, if this object exists
  /// then.
  void Post(std::function<void(Impl&)> aTask);

  /// An address to which a link is kept open.
  struct WatchEntry
  {
    std::shared_ptr<gpLinkDialer> dialer_;
    /// The link, also while its handshake is in progress.
    std::optional<gpLinkId> link_;
  };

  gpLinkContext context_;
  Handlers handlers_;
  std::vector<std::shared_ptr<gpLinkAcceptor>> acceptors_;
  std::map<gpAddress, WatchEntry> watches_;
  std::unordered_map<gpLinkId, std::shared_ptr<gpLinkSession>> sessions_;
  /// What each link buffers, and all of them together.
  std::unordered_map<gpLinkId, std::size_t> buffered_;
  std::size_t bufferedBytes_ = 0;
  /// Accepted connections whose handshake is in progress, the first one first.
  std::set<gpLinkId> handshakes_;
  /// Accepted links that are up, by the peer's incarnation.
  std::unordered_map<gpIncarnation, gpLinkId> accepted_;
  /// Links whose queued messages are sent at the end of this loop iteration.
  std::vector<gpLinkId> linksToSend_;
  gpLinkFlush flush_;
  std::uint64_t lastLink_ = 0;
};

absl::StatusOr<gpAddress>
gpLinkService::Impl::Listen(const gpAddress& aAddress)
{
  const auto acceptor = std::make_shared<gpLinkAcceptor>(
    context_, [weak = weak_from_this()](tcp::socket aSocket) {
      if (const auto self = weak.lock()) {
        self->OnAccepted(std::move(aSocket));
      }
    });
  auto address = acceptor->Listen(aAddress);
  if (address.ok()) {
    acceptors_.push_back(acceptor);
  }
  return address;
}

void
gpLinkService::Impl::OnAccepted(tcp::socket aSocket)
{
  if (handshakes_.size() >= context_.settings_.handshakes_) {
    NoteLimit(gpLinkLimitKind::Handshakes);
    Close(*handshakes_.begin());
  }
  const gpLinkId link = AddSession(std::move(aSocket), std::nullopt);
  if (sessions_.contains(link)) {
    handshakes_.insert(link);
  }
}

void
gpLinkService::Impl::Watch(const gpAddress& aAddress)
{
  const auto [watch, isNew] = watches_.try_emplace(aAddress);
  if (!isNew) {
    return;
  }
  watch->second.dialer_ = std::make_shared<gpLinkDialer>(
    context_, aAddress, MakeDialerHandlers(aAddress));
  watch->second.dialer_->Dial();
}

gpLinkDialer::Handlers
gpLinkService::Impl::MakeDialerHandlers(const gpAddress& aAddress)
{
  gpLinkDialer::Handlers handlers;
  handlers.connected_ = [weak = weak_from_this(),
                         aAddress](tcp::socket aSocket) {
    if (const auto self = weak.lock()) {
      self->OnDialed(aAddress, std::move(aSocket));
    }
  };
  handlers.failed_ = [weak = weak_from_this(), aAddress](gpErrorCode aCode) {
    if (const auto self = weak.lock()) {
      self->handlers_.dialFailed_(aAddress, aCode);
    }
  };
  return handlers;
}

void
gpLinkService::Impl::OnDialed(const gpAddress& aAddress, tcp::socket aSocket)
{
  const auto watch = watches_.find(aAddress);
  if (watch != watches_.end()) {
    watch->second.link_ = AddSession(std::move(aSocket), aAddress);
  }
}

gpLinkId
gpLinkService::Impl::AddSession(tcp::socket aSocket,
                                std::optional<gpAddress> aDialed)
{
  const gpLinkId link(++lastLink_);
  const auto session =
    std::make_shared<gpLinkSession>(link, std::move(aDialed), context_, *this);
  sessions_.emplace(link, session);
  session->Start(std::move(aSocket));
  return link;
}

void
gpLinkService::Impl::Unwatch(const gpAddress& aAddress)
{
  const auto node = watches_.extract(aAddress);
  if (node.empty()) {
    return;
  }
  node.mapped().dialer_->Stop();
  if (node.mapped().link_) {
    Close(*node.mapped().link_);
  }
}

void
gpLinkService::Impl::Send(gpLinkId aLink, gpMessage aMessage)
{
  const auto session = sessions_.find(aLink);
  if (session == sessions_.end() || !session->second->IsUp()) {
    return;
  }
  if (!session->second->Queue(std::move(aMessage))) {
    return;
  }
  if (linksToSend_.empty()) {
    Post([](Impl& aImpl) { aImpl.SendQueuedMessages(); });
  }
  linksToSend_.push_back(aLink);
}

void
gpLinkService::Impl::SendQueuedMessages()
{
  for (const gpLinkId link : std::exchange(linksToSend_, {})) {
    const auto found = sessions_.find(link);
    if (found != sessions_.end()) {
      const auto session = found->second;
      session->SendQueued();
    }
  }
}

void
gpLinkService::Impl::Close(gpLinkId aLink)
{
  const auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  const auto session = found->second;
  session->Close();
  RemoveSession(*session);
}

void
gpLinkService::Impl::Flush(std::function<void()> aFlushed)
{
  Post([flushed = std::move(aFlushed)](Impl& aImpl) {
    aImpl.AddFlushWaiter(flushed);
  });
}

void
gpLinkService::Impl::AddFlushWaiter(std::function<void()> aFlushed)
{
  SendQueuedMessages();
  gpLinkFlush::Targets targets;
  for (const auto& [link, session] : sessions_) {
    if (!session->GetConnection().IsIdle()) {
      targets.emplace(link, session->GetConnection().GetQueuedBytes());
    }
  }
  // Posted, as the last link may close inside a call by the user of the
  // service, and no handler may be called from inside a method.
  flush_.Add(std::move(targets), [this, flushed = std::move(aFlushed)]() {
    context_.loop_.Post(flushed);
  });
}

void
gpLinkService::Impl::OnLinkUp(gpLinkSession& aSession)
{
  const gpIncarnation incarnation = aSession.GetPeer().incarnation_;
  if (!aSession.GetDialed()) {
    handshakes_.erase(aSession.GetId());
    CloseEarlierLink(incarnation);
    if (!aSession.IsUp()) {
      return; // the down_ handler has closed this link
    }
    if (accepted_.size() >= context_.settings_.acceptedLinks_) {
      NoteLimit(gpLinkLimitKind::AcceptedLinks);
      Close(aSession.GetId());
      return;
    }
    accepted_[incarnation] = aSession.GetId();
  }
  handlers_.up_(aSession.GetId(), aSession.GetPeer(), aSession.GetDialed());
}

/// A peer that dials again has closed its earlier link, or lost it, although
/// this side may not have noticed that yet.
void
gpLinkService::Impl::CloseEarlierLink(gpIncarnation aIncarnation)
{
  const auto earlier = accepted_.find(aIncarnation);
  if (earlier == accepted_.end()) {
    return;
  }
  const gpLinkId link = earlier->second;
  Close(link);
  handlers_.down_(link, gpErrorCode::LinkClosed);
}

void
gpLinkService::Impl::OnLinkMessage(gpLinkSession& aSession, gpMessage aMessage)
{
  handlers_.message_(aSession.GetId(), std::move(aMessage));
}

void
gpLinkService::Impl::OnLinkWritten(gpLinkSession& aSession)
{
  flush_.OnWritten(aSession.GetId(),
                   aSession.GetConnection().GetWrittenBytes());
}

void
gpLinkService::Impl::OnLinkBuffered(gpLinkSession& aSession)
{
  std::size_t& known = buffered_[aSession.GetId()];
  const std::size_t bytes = aSession.GetConnection().GetBufferedBytes();
  bufferedBytes_ += bytes - known;
  known = bytes;
  if (bufferedBytes_ > context_.settings_.memoryBytes_) {
    LimitMemory();
  }
}

void
gpLinkService::Impl::LimitMemory()
{
  while (bufferedBytes_ > context_.settings_.memoryBytes_) {
    const auto largest =
      std::max_element(buffered_.begin(),
                       buffered_.end(),
                       [](const auto& aOne, const auto& aOther) {
                         return aOne.second < aOther.second;
                       });
    NoteLimit(gpLinkLimitKind::Memory);
    const auto session = sessions_.at(largest->first);
    session->Fail(gpErrorCode::LinkMemoryFull);
  }
}

void
gpLinkService::Impl::NoteLimit(gpLinkLimitKind aLimit)
{
  if (handlers_.limitReached_) {
    handlers_.limitReached_(aLimit);
  }
}

void
gpLinkService::Impl::OnLinkClosed(gpLinkSession& aSession, gpErrorCode aCode)
{
  RemoveSession(aSession);
  if (handlers_.badInput_ && IsProtocolViolation(aCode, aSession.WasUp())) {
    handlers_.badInput_(aCode);
  }
  if (aSession.WasUp()) {
    handlers_.down_(aSession.GetId(), aCode);
  } else if (aSession.GetDialed()) {
    handlers_.dialFailed_(*aSession.GetDialed(), aCode);
  }
}

void
gpLinkService::Impl::RemoveSession(const gpLinkSession& aSession)
{
  const gpLinkId link = aSession.GetId();
  sessions_.erase(link);
  handshakes_.erase(link);
  const auto buffered = buffered_.extract(link);
  bufferedBytes_ -= buffered.empty() ? 0 : buffered.mapped();
  const auto accepted = accepted_.find(aSession.GetPeer().incarnation_);
  if (accepted != accepted_.end() && accepted->second == link) {
    accepted_.erase(accepted);
  }
  const auto watch = watches_.find(aSession.GetDialed().value_or(gpAddress()));
  if (watch != watches_.end() && watch->second.link_ == link) {
    watch->second.link_.reset();
    watch->second.dialer_->RedialAfterDelay();
  }
  flush_.OnClosed(link);
}

void
gpLinkService::Impl::Post(std::function<void(Impl&)> aTask)
{
  context_.loop_.Post([weak = weak_from_this(), task = std::move(aTask)]() {
    if (const auto self = weak.lock()) {
      task(*self);
    }
  });
}

void
gpLinkService::Impl::Shutdown()
{
  for (const auto& acceptor : acceptors_) {
    acceptor->Stop();
  }
  for (const auto& [address, watch] : watches_) {
    watch.dialer_->Stop();
  }
  for (const auto& [link, session] : sessions_) {
    session->Close();
  }
}

gpLinkService::gpLinkService(gpEventLoop& aLoop,
                             gpTimerService& aTimers,
                             gpLamportClock& aClock,
                             gpLinkSettings aSettings,
                             Handlers aHandlers)
  : impl_(std::make_shared<Impl>(
      gpLinkContext{ aLoop, aTimers, aClock, aSettings, {}, {} },
      std::move(aHandlers)))
{
}

gpLinkService::~gpLinkService()
{
  impl_->Shutdown();
}

absl::StatusOr<gpAddress>
gpLinkService::Listen(const gpAddress& aAddress)
{
  return impl_->Listen(aAddress);
}

void
gpLinkService::SetSelf(gpPeer aSelf)
{
  impl_->context_.self_ = std::move(aSelf);
}

void
gpLinkService::Watch(const gpAddress& aAddress)
{
  impl_->Watch(aAddress);
}

void
gpLinkService::Unwatch(const gpAddress& aAddress)
{
  impl_->Unwatch(aAddress);
}

void
gpLinkService::Send(gpLinkId aLink, gpMessage aMessage)
{
  impl_->Send(aLink, std::move(aMessage));
}

void
gpLinkService::Close(gpLinkId aLink)
{
  impl_->Close(aLink);
}

void
gpLinkService::Flush(std::function<void()> aFlushed)
{
  impl_->Flush(std::move(aFlushed));
}

gpLinkCounts
gpLinkService::GetCounts() const
{
  return impl_->context_.counts_;
}
