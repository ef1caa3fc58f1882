#include "gpTargetBoard.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace {

constexpr double kPermille = 1000;
/// Bounds of what a guard may tell of its target.
constexpr double kLeastSlowness = 0.1;
constexpr double kMostSlowness = 20.0;
/// A run that takes so many times what is expected of the target, and the
/// pause, makes the target suspect. Estimates are off by up to a half.
constexpr double kOverdueFactor = 4.0;
constexpr gpMillis kOverduePause{ 200 };
/// What a target in another data centre must gain to be preferred.
constexpr double kOtherDataCentreMs = 1.0;
/// A task waits for a faster target if it's expected to take this part of the
/// caller's patience.
constexpr double kLostCauseMargin = 1.4;
/// Tasks may take so many times their estimate, by its error and the error in
/// what is known of the target.
constexpr double kEstimateMargin = 1.5;
/// The same where being wrong loses the whole job.
constexpr double kPatienceMargin = 3.0;
/// The way to the target and back, and the time until it starts.
constexpr double kPlacementMarginMs = 10.0;
/// Targets of one class differ in speed by no more than this factor.
constexpr double kClassWidth = 1.5;
/// How long it counts which target was found to be the fastest.
constexpr gpMillis kFastestTime{ 20 };
/// What one class of speed counts for in keeping fast targets free.
constexpr double kSlownessMs = 10.0;
/// What the choice of a target counts for on which the task would be late.
constexpr double kLateMs = 1e4;
/// What a guard counts for that is to be avoided.
constexpr double kAvoidMs = 1e6;

/// Consecutive failures, of as many jobs, that eject a target.
constexpr std::uint32_t kFailuresToEject = 3;
/// Pause before a target that was ejected is tried again.
constexpr gpMillis kProbeAfter{ 1000 };

/// Targets of about the same speed are alike, so that what was measured by
/// chance doesn't make all entries choose the same one.
double
SpeedClass(const gpTargetView& aView)
{
  return std::round(std::log(aView.slowness_) / std::log(kClassWidth));
}

/// Whether a target so slow ends the task within its objective, and far within
/// the caller's patience.
bool
IsInTime(const gpPlacementNeed& aNeed, double aSlowness)
{
  const auto estimate = static_cast<double>(aNeed.estimate_.count());
  const auto allowance = static_cast<double>(aNeed.allowance_.count());
  const auto patience = static_cast<double>(aNeed.patience_.count());
  const double excess =
    (aSlowness - aNeed.stretch_) * estimate * kEstimateMargin;
  const double longest = aSlowness * estimate * kPatienceMargin;
  return excess + kPlacementMarginMs <= allowance &&
         longest + kPlacementMarginMs <= patience;
}

/// What a target costs that ends the task in time: little, and least on the
/// slowest. Any other costs what it's expected to take.
double
CostOf(const gpTargetView& aView, const gpPlacementNeed& aNeed)
{
  const auto estimate = static_cast<double>(aNeed.estimate_.count());
  return IsInTime(aNeed, aView.slowness_)
           ? -kSlownessMs * SpeedClass(aView)
           : kLateMs + estimate * aView.slowness_;
}

gpEjectionSettings
EjectionSettings()
{
  gpEjectionSettings settings;
  settings.failures_ = kFailuresToEject;
  settings.probeAfter_ = kProbeAfter;
  return settings;
}

} // namespace

gpResources
gpTargetView::GetFree() const
{
  gpResources free = reportedFree_;
  for (const auto& [number, needs] : unreported_) {
    free.Take(needs);
  }
  return free;
}

bool
gpTargetView::IsStalled(gpTime aNow) const
{
  return std::any_of(overdueAt_.begin(),
                     overdueAt_.end(),
                     [aNow](const auto& aRun) { return aRun.second < aNow; });
}

void
gpTargetBoard::OnLinked(gpIncarnation aGuard, gpLinkId aLink)
{
  gpTargetView& view = views_[aGuard];
  view.link_ = aLink;
  view.runsOrdered_ = 0;
  view.unreported_.clear();
  fastest_.clear();
}

void
gpTargetBoard::OnLost(gpIncarnation aGuard)
{
  views_.erase(aGuard);
  fastest_.clear();
}

void
gpTargetBoard::OnNews(gpIncarnation aGuard, const gpTargetNews& aNews)
{
  if (gpTargetView* view = Find(aGuard)) {
    view->news_ = aNews;
    fastest_.clear();
  }
}

bool
gpTargetBoard::OnRoom(gpIncarnation aGuard,
                      const gpRoomReport& aRoom,
                      gpTime aNow)
{
  gpTargetView* view = Find(aGuard);
  if (view == nullptr) {
    return false;
  }
  const gpResources before = view->GetFree();
  view->reportedFree_ = aRoom.free_;
  view->reportedAt_ = aNow;
  view->sharers_ = std::max(aRoom.sharers_, 1U);
  view->slowness_ = std::clamp(
    aRoom.slownessPermille_ / kPermille, kLeastSlowness, kMostSlowness);
  while (!view->unreported_.empty() &&
         view->unreported_.front().first <= aRoom.runsSeen_) {
    view->unreported_.pop_front();
  }
  return !before.Covers(view->GetFree());
}

gpTargetView*
gpTargetBoard::Find(gpIncarnation aGuard)
{
  const auto found = views_.find(aGuard);
  return found == views_.end() ? nullptr : &found->second;
}

bool
gpTargetBoard::MayStart(const gpTargetView& aView, gpTime aNow) const
{
  return aView.news_.takesWork_ && aView.health_.MayStart(aNow) &&
         !aView.IsStalled(aNow);
}

double
gpTargetBoard::UsualSlowness(const gpServiceName& aService, gpTime aNow) const
{
  std::vector<double> all;
  for (const auto& [guard, view] : views_) {
    if (view.news_.service_ == aService && MayStart(view, aNow)) {
      all.push_back(view.slowness_);
    }
  }
  if (all.empty()) {
    return 1.0;
  }
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
  std::nth_element(all.begin(), middle, all.end());
  return *middle;
}

bool
gpTargetBoard::NeedsFast(const gpPlacementNeed& aNeed, gpTime aNow) const
{
  return !IsInTime(aNeed, UsualSlowness(aNeed.service_, aNow));
}

double
gpTargetBoard::FindFastest(const gpServiceName& aService, gpTime aNow) const
{
  double fastest = std::numeric_limits<double>::infinity();
  for (const auto& [guard, view] : views_) {
    if (view.news_.service_ == aService && MayStart(view, aNow)) {
      fastest = std::min(fastest, view.slowness_);
    }
  }
  return fastest;
}

double
gpTargetBoard::FastestSlowness(const gpServiceName& aService, gpTime aNow)
{
  const auto [found, isNew] = fastest_.try_emplace(aService);
  Fastest& fastest = found->second;
  if (isNew || aNow >= fastest.foundAt_ + kFastestTime) {
    looks_ += views_.size();
    fastest = { FindFastest(aService, aNow), aNow };
  }
  return fastest.slowness_;
}

bool
gpTargetBoard::Accepts(const gpTargetView& aView,
                       const gpPlacementNeed& aNeed,
                       gpTime aNow)
{
  ++looks_;
  if (aView.news_.service_ != aNeed.service_ ||
      !aView.GetFree().Covers(aNeed.needs_) || !MayStart(aView, aNow)) {
    return false;
  }
  // The slowest target on which the task may still end before its caller
  // leaves; else one of the fastest ones has to do.
  const double longest =
    static_cast<double>(aNeed.patience_.count()) /
    (static_cast<double>(aNeed.estimate_.count() + 1) * kLostCauseMargin);
  return aView.slowness_ <= longest ||
         aView.slowness_ <= kClassWidth * FastestSlowness(aNeed.service_, aNow);
}

bool
gpTargetBoard::Accepts(gpIncarnation aGuard,
                       const gpPlacementNeed& aNeed,
                       gpTime aNow)
{
  const gpTargetView* view = Find(aGuard);
  return view != nullptr && Accepts(*view, aNeed, aNow);
}

std::optional<gpIncarnation>
gpTargetBoard::Choose(const gpPlacementNeed& aNeed, gpTime aNow)
{
  std::optional<gpIncarnation> best;
  double bestCost = 0;
  for (const auto& [guard, view] : views_) {
    if (!Accepts(view, aNeed, aNow)) {
      continue;
    }
    double cost = CostOf(view, aNeed);
    cost += view.news_.dataCentre_ == dataCentre_ ? 0.0 : kOtherDataCentreMs;
    cost += aNeed.avoid_.contains(guard) ? kAvoidMs : 0.0;
    if (!best.has_value() || cost < bestCost) {
      best = guard;
      bestCost = cost;
    }
  }
  return best;
}

void
gpTargetBoard::NoteSent(gpIncarnation aGuard,
                        const gpRunId& aRun,
                        const gpResources& aNeeds,
                        gpMillis aEstimate,
                        gpTime aNow)
{
  gpTargetView* view = Find(aGuard);
  if (view == nullptr) {
    return;
  }
  view->health_.NoteStart();
  view->unreported_.emplace_back(++view->runsOrdered_, aNeeds);
  const double expected =
    static_cast<double>(aEstimate.count()) * std::max(1.0, view->slowness_);
  view->overdueAt_.insert_or_assign(
    aRun,
    aNow + kOverduePause +
      gpMillis(static_cast<std::int64_t>(expected * kOverdueFactor)));
}

void
gpTargetBoard::NoteEnded(gpIncarnation aGuard,
                         const std::string& aJob,
                         const gpRunReport& aReport,
                         gpTime aNow)
{
  gpTargetView* view = Find(aGuard);
  if (view == nullptr) {
    return;
  }
  const auto overdue = view->overdueAt_.find(aReport.run_);
  const bool wasStalled =
    overdue != view->overdueAt_.end() && overdue->second < aNow;
  view->overdueAt_.erase(aReport.run_);
  switch (aReport.end_) {
    case gpRunEnd::Done:
      view->health_.NoteSuccess();
      return;
    case gpRunEnd::Failed:
      // A job that can never be done fails everywhere; it counts once.
      if (view->lastFailedJob_ != aJob) {
        view->lastFailedJob_ = aJob;
        view->health_.NoteFailure(EjectionSettings(), true, aNow);
      }
      return;
    case gpRunEnd::Unhealthy:
      view->health_.NoteFailure(EjectionSettings(), true, aNow);
      return;
    case gpRunEnd::Stopped:
      if (wasStalled) {
        view->health_.NoteFailure(EjectionSettings(), true, aNow);
      } else {
        view->health_.NoteNotRun();
      }
      return;
    case gpRunEnd::NoRoom:
    case gpRunEnd::Leaving:
    case gpRunEnd::Outdated:
      view->health_.NoteNotRun();
      return;
  }
}

bool
gpTargetBoard::HasTarget(const gpServiceName& aService) const
{
  return std::any_of(views_.begin(), views_.end(), [&](const auto& aEntry) {
    const gpTargetNews& news = aEntry.second.news_;
    return news.takesWork_ && news.service_ == aService;
  });
}

bool
gpTargetBoard::CouldHold(const gpServiceName& aService,
                         const gpResources& aNeeds) const
{
  return std::any_of(views_.begin(), views_.end(), [&](const auto& aEntry) {
    const gpTargetNews& news = aEntry.second.news_;
    return news.service_ == aService && news.capacity_.Covers(aNeeds);
  });
}

double
gpTargetBoard::GetShare(const gpServiceName& aService) const
{
  double share = 0;
  for (const auto& [guard, view] : views_) {
    if (view.news_.takesWork_ && view.news_.service_ == aService &&
        !view.health_.IsEjected()) {
      share += static_cast<double>(view.news_.capacity_.milliCores_) /
               (view.slowness_ * view.sharers_);
    }
  }
  return share;
}
