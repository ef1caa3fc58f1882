#include "gpEntryFinder.h"

#include <algorithm>
#include <utility>

#include "gpEntryRanking.h"
#include "gpLeaseLogEvents.h"

namespace {

/// Time after which an unreachable entry is replaced by the next one in the
/// order.
constexpr gpMillis kReplaceAfter{ 300 };
/// Time after which an unreachable entry is dialed only periodically. Longer
/// than a restart of an entry takes.
constexpr gpMillis kBackOffAfter{ 10000 };
/// Period of these retries, and how long dialing goes on in each of them.
constexpr gpMillis kRetryPeriod{ 5000 };
constexpr gpMillis kRetryTime{ 400 };
/// Time after which an unreachable entry is forgotten, until a peer, the
/// settings or the store name it again.
constexpr gpMillis kForgetAfter{ 60000 };
/// Minimum time that a link stays open after it has become surplus: the entry
/// has to learn that it must send no more work on the link, and the orders that
/// it has sent before have to arrive.
constexpr gpMillis kSurplusTime{ 1000 };
/// Upper bound of entries dialed at the same time, as a multiple of the links
/// wanted.
constexpr std::size_t kMostDials = 3;
/// The wanted entries are recomputed in this period even without an event, as
/// entries become replaceable, due for a retry or forgotten by time alone.
constexpr gpMillis kCheckPeriod{ 100 };
/// Minimum time between two updates, so that entries learned within it are sent
/// in one message.
constexpr gpMillis kUpdatePeriod{ 200 };

} // namespace

gpEntryFinder::gpEntryFinder(gpEntryFinderOptions aOptions)
  : options_(std::move(aOptions))
  , directory_(options_.self_.address_)
{
}

void
gpEntryFinder::SetConfigured(const std::vector<gpAddress>& aEntries)
{
  directory_.SetConfigured(aEntries);
  isOrderStale_ = true;
}

void
gpEntryFinder::Learn(const std::vector<gpKnownEntry>& aEntries)
{
  for (const gpKnownEntry& entry : aEntries) {
    isOrderStale_ = directory_.Learn(entry) || isOrderStale_;
  }
}

std::optional<gpLinkId>
gpEntryFinder::OnLinked(const gpAddress& aEntry,
                        gpLinkId aLink,
                        gpIncarnation aIncarnation)
{
  const auto earlier = ReplaceLink(aIncarnation, aEntry, aLink);
  links_.insert_or_assign(aLink, aEntry);
  Dial& dial = dials_[aEntry];
  dial.link_ = aLink;
  dial.incarnation_ = aIncarnation;
  dial.replacedBy_.reset();
  dial.failingSince_.reset();
  hasChanged_ = true;
  return earlier;
}

std::optional<gpLinkId>
gpEntryFinder::ReplaceLink(gpIncarnation aIncarnation,
                           const gpAddress& aEntry,
                           gpLinkId aLink)
{
  const auto earlier =
    std::find_if(links_.begin(), links_.end(), [&](const auto& aOther) {
      return aOther.second != aEntry &&
             dials_.at(aOther.second).incarnation_ == aIncarnation;
    });
  if (earlier == links_.end()) {
    return std::nullopt;
  }
  const gpLinkId link = earlier->first;
  Dial& dial = dials_.at(earlier->second);
  dial.link_.reset();
  dial.surplusSince_.reset();
  dial.replacedBy_ = aLink;
  links_.erase(earlier);
  return link;
}

void
gpEntryFinder::OnLost(gpLinkId aLink, gpTime aNow)
{
  const auto found = links_.find(aLink);
  if (found == links_.end()) {
    return;
  }
  Dial& dial = dials_[found->second];
  dial.link_.reset();
  dial.failingSince_ = aNow;
  dial.surplusSince_.reset();
  links_.erase(found);
  hasChanged_ = true;
}

void
gpEntryFinder::OnDialFailed(const gpAddress& aEntry, gpTime aNow)
{
  const auto found = dials_.find(aEntry);
  if (found != dials_.end() && !found->second.failingSince_.has_value()) {
    found->second.failingSince_ = aNow;
  }
}

void
gpEntryFinder::Update(gpTime aNow, gpLeaseEffects& aOut)
{
  if (!hasChanged_ && !isOrderStale_ && aNow < nextCheck_) {
    return;
  }
  nextCheck_ = aNow + kCheckPeriod;
  hasChanged_ = false;
  ForgetUnreachable(aNow, aOut);
  if (std::exchange(isOrderStale_, false)) {
    order_ =
      gpRankEntries(options_.name_, directory_.GetAll(), options_.links_);
  }
  const std::vector<gpAddress> wanted = ListWanted(aNow);
  for (const gpAddress& entry : wanted) {
    Dial& dial = dials_[entry];
    dial.surplusSince_.reset();
    if (!std::exchange(dial.isWatched_, true)) {
      aOut.Add(gpWatchAddress{ entry });
    }
  }
  DropUnwanted(wanted, aNow, aOut);
}

std::vector<gpAddress>
gpEntryFinder::ListWanted(gpTime aNow) const
{
  std::vector<gpAddress> wanted;
  std::size_t reachable = 0;
  for (const gpAddress& entry : order_) {
    if (reachable >= options_.links_ ||
        wanted.size() >= options_.links_ * kMostDials) {
      break;
    }
    if (IsBackingOff(entry, aNow) || IsDuplicate(entry)) {
      continue;
    }
    wanted.push_back(entry);
    reachable += IsFailingFor(entry, kReplaceAfter, aNow) ? 0 : 1;
  }
  return wanted;
}

bool
gpEntryFinder::IsDuplicate(const gpAddress& aEntry) const
{
  const auto found = dials_.find(aEntry);
  return found != dials_.end() && found->second.replacedBy_.has_value() &&
         links_.contains(*found->second.replacedBy_);
}

bool
gpEntryFinder::IsFailingFor(const gpAddress& aEntry,
                            gpMillis aTime,
                            gpTime aNow) const
{
  const auto found = dials_.find(aEntry);
  return found != dials_.end() && found->second.failingSince_.has_value() &&
         aNow - *found->second.failingSince_ >= aTime;
}

bool
gpEntryFinder::IsBackingOff(const gpAddress& aEntry, gpTime aNow) const
{
  // A process without any link keeps dialing all known entries, unless these
  // exceed the bound of entries dialed at the same time.
  const bool triesAll =
    links_.empty() && order_.size() <= options_.links_ * kMostDials;
  if (triesAll || !IsFailingFor(aEntry, kBackOffAfter, aNow)) {
    return false;
  }
  const auto failing = aNow - *dials_.at(aEntry).failingSince_;
  return failing % gpMicros(kRetryPeriod) >= gpMicros(kRetryTime);
}

void
gpEntryFinder::DropUnwanted(const std::vector<gpAddress>& aWanted,
                            gpTime aNow,
                            gpLeaseEffects& aOut)
{
  const auto isLinked = [this](const gpAddress& aEntry) {
    return dials_.at(aEntry).link_.has_value();
  };
  const auto linked = static_cast<std::size_t>(
    std::count_if(aWanted.begin(), aWanted.end(), isLinked));
  for (auto& [entry, dial] : dials_) {
    const bool isWanted =
      std::find(aWanted.begin(), aWanted.end(), entry) != aWanted.end();
    if (isWanted || !dial.isWatched_) {
      continue;
    }
    if (!dial.link_.has_value()) {
      dial.isWatched_ = false;
      aOut.Add(gpUnwatchAddress{ entry });
    } else if (linked < options_.links_) {
      dial.surplusSince_.reset();
    } else if (!dial.surplusSince_.has_value()) {
      dial.surplusSince_ = aNow;
    }
  }
}

void
gpEntryFinder::ForgetUnreachable(gpTime aNow, gpLeaseEffects& aOut)
{
  for (auto dial = dials_.begin(); dial != dials_.end();) {
    const gpAddress& entry = dial->first;
    if (links_.empty() || directory_.IsConfigured(entry) ||
        !IsFailingFor(entry, kForgetAfter, aNow)) {
      ++dial;
      continue;
    }
    if (dial->second.isWatched_) {
      aOut.Add(gpUnwatchAddress{ entry });
    }
    aOut.Write(gpProcessLogEvent(gpEventKind::MemberRemoved,
                                 entry.value_ + " unreachable for " +
                                   gpMillisText(kForgetAfter)));
    directory_.Forget(entry);
    isOrderStale_ = true;
    dial = dials_.erase(dial);
  }
}

std::vector<gpLinkId>
gpEntryFinder::ListSurplus(gpTime aNow) const
{
  std::vector<gpLinkId> list;
  for (const auto& [link, entry] : links_) {
    const Dial& dial = dials_.at(entry);
    if (dial.surplusSince_.has_value() &&
        aNow - *dial.surplusSince_ >= kSurplusTime) {
      list.push_back(link);
    }
  }
  return list;
}

bool
gpEntryFinder::IsSurplus(gpLinkId aLink) const
{
  const auto found = links_.find(aLink);
  return found != links_.end() &&
         dials_.at(found->second).surplusSince_.has_value();
}

void
gpEntryFinder::Release(gpLinkId aLink, gpLeaseEffects& aOut)
{
  const auto found = links_.find(aLink);
  if (found == links_.end()) {
    return;
  }
  dials_.erase(found->second);
  aOut.Add(gpUnwatchAddress{ found->second });
  aOut.Write(gpProcessLogEvent(gpEventKind::LinkDown,
                               found->second.value_ +
                                 " closed: replaced by other entries"));
  links_.erase(found);
}

gpEntryUpdate
gpEntryFinder::MakeUpdate(gpTime aNow) const
{
  gpEntryUpdate update;
  if (!options_.self_.address_.value_.empty()) {
    update.entries_.push_back(options_.self_);
  }
  for (const auto& [address, entry] : directory_.GetAll()) {
    if (!IsFailingFor(address, kBackOffAfter, aNow)) {
      update.entries_.push_back(entry);
    }
  }
  return update;
}

std::optional<gpEntryUpdate>
gpEntryFinder::TakeUpdate(gpTime aNow)
{
  if (aNow < nextUpdate_) {
    return std::nullopt;
  }
  gpEntryUpdate update;
  update.entries_ = directory_.TakeChanged();
  if (update.entries_.empty()) {
    return std::nullopt;
  }
  nextUpdate_ = aNow + kUpdatePeriod;
  return update;
}
