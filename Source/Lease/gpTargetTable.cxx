#include "gpTargetTable.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

#include "gpDigest.h"

namespace {

constexpr double kPermille = 1000;
/// Bounds of a slowness that a guard reports; limits the effect of a faulty
/// guard.
constexpr double kLeastSlowness = 0.1;
constexpr double kMostSlowness = 20.0;
/// A target with a run that takes longer than the time expected on this target
/// multiplied by this factor, plus kOverduePause, counts as stalled. The factor
/// is large as estimates are off by up to a half.
constexpr double kOverdueFactor = 4.0;
constexpr gpMillis kOverduePause{ 200 };
/// Cost of a target in another data centre. The costs below are all in ms.
constexpr double kOtherDataCentreMs = 1.0;
/// A task waits for a faster target if its expected run time, times this
/// margin, exceeds the time left until its deadline.
constexpr double kTooSlowMargin = 1.4;
/// Margin on the expected run time for the objective: covers the error of the
/// estimate and of the target's known slowness.
constexpr double kEstimateMargin = 1.5;
/// The same for the deadline, where exceeding it loses the whole job.
constexpr double kDeadlineMargin = 3.0;
/// Network delay to the target and back, and the time until the run starts.
constexpr double kPlacementMarginMs = 10.0;
/// Targets of one speed class differ in speed by at most this factor.
constexpr double kClassWidth = 1.5;
/// How long the lowest slowness of all targets is cached.
constexpr gpMillis kFastestTime{ 20 };
/// Cost of using a target that is faster than necessary, for each speed class.
constexpr double kSlownessMs = 10.0;
/// Cost of a target on which the task would be late.
constexpr double kLateMs = 1e4;
/// Cost of a guard that is to be avoided.
constexpr double kAvoidMs = 1e6;

/// Pause between the starts of two suspected tasks at one target: longer than a
/// task takes to crash its target, and than the crash takes to be known.
constexpr gpMillis kSuspectedPause{ 60 };

/// Number of consecutive failures, each of a different job, that eject a
/// target.
constexpr std::uint32_t kFailuresToEject = 3;
/// Pause before an ejected target is probed.
constexpr gpMillis kProbeAfter{ 1000 };

/// Number of targets of a service that are set apart for queues whose tasks
/// crash targets: one of kSetApartPart, at least one.
std::size_t
CountSetApart(std::size_t aTargets)
{
  constexpr std::size_t kSetApartPart = 5;
  return (aTargets + kSetApartPart - 1) / kSetApartPart;
}

/// Rounds the slowness to a speed class. Targets of about the same speed count
/// as equal, so that measurement noise doesn't make all entries choose the same
/// one.
double
SpeedClass(const gpTargetView& aView)
{
  return std::round(std::log(aView.slowness_) / std::log(kClassWidth));
}

/// Whether a task is expected to end within its objective, and well before its
/// deadline, on a target of this slowness.
bool
IsInTime(const gpPlacementNeed& aNeed, double aSlowness)
{
  const auto estimate = static_cast<double>(aNeed.estimate_.count());
  const auto allowance = static_cast<double>(aNeed.allowance_.count());
  const auto timeLeft = static_cast<double>(aNeed.timeLeft_.count());
  const double excess =
    (aSlowness - aNeed.stretch_) * estimate * kEstimateMargin;
  const double longest = aSlowness * estimate * kDeadlineMargin;
  return excess + kPlacementMarginMs <= allowance &&
         longest + kPlacementMarginMs <= timeLeft;
}

/// Cost of placing the task at the target. A target on which it ends in time
/// costs little, the slowest one least; any other costs the expected run time,
/// after a penalty for being late.
double
CostOf(const gpTargetView& aView, const gpPlacementNeed& aNeed)
{
  const auto estimate = static_cast<double>(aNeed.estimate_.count());
  return IsInTime(aNeed, aView.slowness_)
           ? -kSlownessMs * SpeedClass(aView)
           : kLateMs + estimate * aView.slowness_;
}

/// Number of the last crash of which the update tells; 0 if of none.
std::uint64_t
LastCrashOf(const gpTargetUpdate& aUpdate)
{
  return aUpdate.crashes_.empty() ? 0 : aUpdate.crashes_.back().number_;
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
gpTargetTable::OnLinked(const gpPeer& aGuard, gpLinkId aLink)
{
  gpTargetView& view = views_[aGuard.incarnation_];
  view.name_ = aGuard.name_;
  view.link_ = aLink;
  view.runsOrdered_ = 0;
  view.unreported_.clear();
  UpdateScopes();
}

void
gpTargetTable::OnLost(gpIncarnation aGuard)
{
  views_.erase(aGuard);
  UpdateScopes();
}

void
gpTargetTable::UpdateScopes()
{
  fastest_.clear();
  // By the hash of the guard's name, so that all entries agree. A guard that
  // was restarted may still be linked as its former self too.
  std::map<gpServiceName, std::map<std::uint64_t, std::vector<gpTargetView*>>>
    services;
  for (auto& [guard, view] : views_) {
    services[view.update_.service_][gpStableHash(view.name_, 0)].push_back(
      &view);
  }
  for (auto& [service, targets] : services) {
    std::size_t setApart = CountSetApart(targets.size());
    for (auto& [hash, views] : targets) {
      std::set<gpPlacementScope> scopes{ setApart > 0
                                           ? gpPlacementScope::SetApart
                                           : gpPlacementScope::Others };
      if (targets.size() == 1) {
        scopes.insert(gpPlacementScope::Others);
      }
      for (gpTargetView* view : views) {
        view->scopes_ = scopes;
      }
      setApart -= std::min<std::size_t>(setApart, 1);
    }
  }
}

void
gpTargetTable::OnTargetUpdate(gpIncarnation aGuard,
                              const gpTargetUpdate& aUpdate)
{
  gpTargetView* view = Find(aGuard);
  if (view == nullptr) {
    return;
  }
  if (LastCrashOf(aUpdate) > LastCrashOf(view->update_)) {
    // What is known of the health is about an incarnation that has ended.
    view->health_ = gpTargetHealth();
    view->lastFailedJob_.clear();
  }
  const bool isMoved = view->update_.service_ != aUpdate.service_;
  view->update_ = aUpdate;
  fastest_.clear();
  if (isMoved) {
    UpdateScopes();
  }
}

bool
gpTargetTable::OnCapacityReport(gpIncarnation aGuard,
                                const gpCapacityReport& aCapacity,
                                gpTime aNow)
{
  gpTargetView* view = Find(aGuard);
  if (view == nullptr) {
    return false;
  }
  const gpResources before = view->GetFree();
  view->reportedFree_ = aCapacity.free_;
  view->reportedAt_ = aNow;
  view->sharingEntries_ = std::max(aCapacity.sharingEntries_, 1U);
  view->slowness_ = std::clamp(
    aCapacity.slownessPermille_ / kPermille, kLeastSlowness, kMostSlowness);
  while (!view->unreported_.empty() &&
         view->unreported_.front().first <= aCapacity.runsSeen_) {
    view->unreported_.pop_front();
  }
  return !before.Covers(view->GetFree());
}

gpTargetView*
gpTargetTable::Find(gpIncarnation aGuard)
{
  const auto found = views_.find(aGuard);
  return found == views_.end() ? nullptr : &found->second;
}

std::size_t gpTargetObstacles::*
gpTargetTable::FindStartObstacle(const gpTargetView& aView, gpTime aNow)
{
  if (!aView.update_.takesWork_) {
    return &gpTargetObstacles::leaving_;
  }
  if (!aView.health_.MayStart(aNow)) {
    return &gpTargetObstacles::ejected_;
  }
  return aView.IsStalled(aNow) ? &gpTargetObstacles::stalled_ : nullptr;
}

bool
gpTargetTable::MayStart(const gpTargetView& aView, gpTime aNow)
{
  return FindStartObstacle(aView, aNow) == nullptr;
}

double
gpTargetTable::MedianSlowness(const gpServiceName& aService, gpTime aNow) const
{
  std::vector<double> all;
  for (const auto& [guard, view] : views_) {
    if (view.update_.service_ == aService && MayStart(view, aNow)) {
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
gpTargetTable::NeedsFastTarget(const gpPlacementNeed& aNeed, gpTime aNow) const
{
  return !IsInTime(aNeed, MedianSlowness(aNeed.service_, aNow));
}

double
gpTargetTable::FindFastest(const gpServiceName& aService,
                           gpPlacementScope aScope,
                           gpTime aNow) const
{
  double fastest = std::numeric_limits<double>::infinity();
  for (const auto& [guard, view] : views_) {
    if (view.update_.service_ == aService && view.IsIn(aScope) &&
        MayStart(view, aNow)) {
      fastest = std::min(fastest, view.slowness_);
    }
  }
  return fastest;
}

double
gpTargetTable::FastestSlowness(const gpServiceName& aService,
                               gpPlacementScope aScope,
                               gpTime aNow)
{
  const auto [found, isNew] = fastest_.try_emplace({ aService, aScope });
  Fastest& fastest = found->second;
  if (isNew || aNow >= fastest.foundAt_ + kFastestTime) {
    considered_ += views_.size();
    fastest = { FindFastest(aService, aScope, aNow), aNow };
  }
  return fastest.slowness_;
}

bool
gpTargetTable::Accepts(const gpTargetView& aView,
                       const gpPlacementNeed& aNeed,
                       gpTime aNow)
{
  ++considered_;
  if (aView.update_.service_ != aNeed.service_ || !aView.IsIn(aNeed.scope_) ||
      !aView.GetFree().Covers(aNeed.needs_) || !MayStart(aView, aNow) ||
      (aNeed.isSuspected_ && aNow < aView.suspectedUntil_)) {
    return false;
  }
  // Accepts a target on which the task is expected to end before its deadline.
  // If no target is that fast, the task has to use one of the fastest class.
  const double longest =
    static_cast<double>(aNeed.timeLeft_.count()) /
    (static_cast<double>(aNeed.estimate_.count() + 1) * kTooSlowMargin);
  return aView.slowness_ <= longest ||
         aView.slowness_ <=
           kClassWidth * FastestSlowness(aNeed.service_, aNeed.scope_, aNow);
}

bool
gpTargetTable::Accepts(gpIncarnation aGuard,
                       const gpPlacementNeed& aNeed,
                       gpTime aNow)
{
  const gpTargetView* view = Find(aGuard);
  return view != nullptr && Accepts(*view, aNeed, aNow);
}

std::optional<gpIncarnation>
gpTargetTable::Choose(const gpPlacementNeed& aNeed, gpTime aNow)
{
  std::optional<gpIncarnation> best;
  double bestCost = 0;
  for (const auto& [guard, view] : views_) {
    if (!Accepts(view, aNeed, aNow)) {
      continue;
    }
    double cost = CostOf(view, aNeed);
    cost += view.update_.dataCentre_ == dataCentre_ ? 0.0 : kOtherDataCentreMs;
    cost += aNeed.avoid_.contains(guard) ? kAvoidMs : 0.0;
    if (!best.has_value() || cost < bestCost) {
      best = guard;
      bestCost = cost;
    }
  }
  return best;
}

gpTargetObstacles
gpTargetTable::FindObstacles(const gpPlacementNeed& aNeed, gpTime aNow) const
{
  gpTargetObstacles found;
  for (const auto& [guard, view] : views_) {
    if (view.update_.service_ != aNeed.service_) {
      continue;
    }
    auto obstacle = view.IsIn(aNeed.scope_) ? FindStartObstacle(view, aNow)
                                            : &gpTargetObstacles::outOfScope_;
    if (obstacle == nullptr) {
      obstacle = view.GetFree().Covers(aNeed.needs_)
                   ? &gpTargetObstacles::slow_
                   : &gpTargetObstacles::full_;
    }
    ++(found.*obstacle);
  }
  return found;
}

void
gpTargetTable::NoteSent(gpIncarnation aGuard,
                        const gpRunId& aRun,
                        const gpPlacementNeed& aNeed,
                        gpTime aNow)
{
  gpTargetView* view = Find(aGuard);
  if (view == nullptr) {
    return;
  }
  view->health_.NoteStart();
  view->unreported_.emplace_back(++view->runsOrdered_, aNeed.needs_);
  if (aNeed.isSuspected_) {
    view->suspectedUntil_ = aNow + kSuspectedPause;
  }
  const double expected = static_cast<double>(aNeed.estimate_.count()) *
                          std::max(1.0, view->slowness_);
  view->overdueAt_.insert_or_assign(
    aRun,
    aNow + kOverduePause +
      gpMillis(static_cast<std::int64_t>(expected * kOverdueFactor)));
}

void
gpTargetTable::NoteEnded(gpIncarnation aGuard,
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
      // A job that always fails does so at every target; its consecutive
      // failures count once.
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
gpTargetTable::HasTarget(const gpServiceName& aService,
                         gpPlacementScope aScope) const
{
  return std::any_of(views_.begin(), views_.end(), [&](const auto& aEntry) {
    const gpTargetUpdate& update = aEntry.second.update_;
    return update.takesWork_ && update.service_ == aService &&
           aEntry.second.IsIn(aScope);
  });
}

bool
gpTargetTable::CouldHold(const gpServiceName& aService,
                         gpPlacementScope aScope,
                         const gpResources& aNeeds) const
{
  return std::any_of(views_.begin(), views_.end(), [&](const auto& aEntry) {
    const gpTargetUpdate& update = aEntry.second.update_;
    return update.service_ == aService && aEntry.second.IsIn(aScope) &&
           update.capacity_.Covers(aNeeds);
  });
}

double
gpTargetTable::GetShare(const gpServiceName& aService,
                        gpPlacementScope aScope) const
{
  double share = 0;
  for (const auto& [guard, view] : views_) {
    if (view.update_.takesWork_ && view.update_.service_ == aService &&
        view.IsIn(aScope) && !view.health_.IsEjected()) {
      share += static_cast<double>(view.update_.capacity_.milliCores_) /
               (view.slowness_ * view.sharingEntries_);
    }
  }
  return share;
}
