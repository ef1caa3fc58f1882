#include "gpGuardDirectory.h"

#include <algorithm>
#include <iterator>

namespace {

/// Mean run time that is assumed for a service before its first result.
constexpr gpMicros kFirstMeanRun{ 200000 };
/// A new sample has the weight 1 / kSmoothing in a moving average.
constexpr std::int64_t kSmoothing = 16;
constexpr std::uint32_t kPercent = 100;

gpMicros
Smooth(gpMicros aMean, gpMicros aSample)
{
  return aMean + (aSample - aMean) / kSmoothing;
}

} // namespace

std::uint32_t
gpGuardView::EstimateFreeSlots(gpTime aNow) const
{
  const gpMicros horizon = meanRun_.count() == 0 ? kFirstMeanRun : meanRun_;
  const gpMicros age =
    awaitsOffer_ ? gpMicros(0) : std::min(aNow - reportedAt_, horizon);
  const auto ended =
    static_cast<std::uint32_t>(age.count() * usedByOthers_ / horizon.count());
  const std::uint32_t used =
    static_cast<std::uint32_t>(inFlight_.size()) + usedByOthers_ - ended;
  return used >= slots_ ? 0 : slots_ - used;
}

void
gpGuardView::NoteFree(std::uint32_t aFree, gpTime aNow)
{
  reportedAt_ = aNow;
  awaitsOffer_ = false;
  const std::uint32_t used = slots_ > aFree ? slots_ - aFree : 0;
  const auto own = static_cast<std::uint32_t>(inFlight_.size());
  usedByOthers_ = used > own ? used - own : 0;
}

gpGuardView&
gpGuardDirectory::Learn(const gpMember& aMember, gpTime aNow)
{
  const auto [found, isNew] = guards_.try_emplace(aMember.guard_);
  gpGuardView& guard = found->second;
  guard.member_ = aMember;
  if (isNew) {
    guard.slots_ = aMember.slots_;
    guard.unlinkedSince_ = aNow;
    byService_[aMember.service_].push_back(&guard);
  }
  return guard;
}

void
gpGuardDirectory::Forget(gpIncarnation aGuard)
{
  gpGuardView* guard = Find(aGuard);
  if (guard != nullptr) {
    std::erase(byService_[guard->member_.service_], guard);
    guards_.erase(aGuard);
  }
}

gpGuardView*
gpGuardDirectory::Find(gpIncarnation aGuard)
{
  const auto found = guards_.find(aGuard);
  return found == guards_.end() ? nullptr : &found->second;
}

std::vector<gpGuardView*>
gpGuardDirectory::ListUsable(const gpServiceName& aService)
{
  const auto found = byService_.find(aService);
  if (found == byService_.end()) {
    return {};
  }
  std::vector<gpGuardView*> usable;
  std::ranges::copy_if(
    found->second, std::back_inserter(usable), [](const gpGuardView* aGuard) {
      return aGuard->link_.has_value() && !aGuard->leaving_ &&
             !aGuard->drained_;
    });
  return usable;
}

void
gpGuardDirectory::NoteRun(gpGuardView& aGuard, gpMicros aRun, gpMicros aTotal)
{
  gpMicros& mean = meanRuns_[aGuard.member_.service_];
  mean = mean.count() == 0 ? aRun : Smooth(mean, aRun);
  const bool isFirst = aGuard.meanRun_.count() == 0;
  aGuard.meanRun_ = Smooth(isFirst ? mean : aGuard.meanRun_, aRun);
  const gpMicros overhead = std::max(aTotal - aRun, gpMicros(0));
  aGuard.overhead_ = isFirst ? overhead : Smooth(aGuard.overhead_, overhead);
}

gpMicros
gpGuardDirectory::GetMeanRun(const gpServiceName& aService) const
{
  const auto found = meanRuns_.find(aService);
  return found == meanRuns_.end() ? kFirstMeanRun : found->second;
}

bool
gpGuardDirectory::MayEject(const gpServiceName& aService,
                           std::uint32_t aMaxPercent) const
{
  std::uint32_t all = 0;
  std::uint32_t ejected = 0;
  for (const auto& [incarnation, guard] : guards_) {
    if (guard.member_.service_ == aService && guard.link_.has_value()) {
      ++all;
      ejected += guard.health_.IsEjected() ? 1 : 0;
    }
  }
  return (ejected + 1) * kPercent <= all * aMaxPercent;
}
