#include "gpAdmissionPolicy.h"

#include <algorithm>

namespace {

/// Retry-after time of a refusal for which no estimate exists.
constexpr gpMillis kDefaultRetryAfter{ 1000 };
constexpr gpMillis kMinRetryAfter{ 10 };

gpFailure
Refuse(gpFailureCode aCode, std::optional<gpMicros> aRetryAfter)
{
  gpFailure failure;
  failure.code_ = aCode;
  failure.outcome_ = gpOutcome::NotRun;
  if (aRetryAfter.has_value()) {
    failure.retryAfter_ =
      std::max(std::chrono::ceil<gpMillis>(*aRetryAfter), kMinRetryAfter);
  }
  return failure;
}

std::size_t
BodyBytes(const gpSubmission& aSubmission)
{
  std::size_t bytes = 0;
  for (const gpTaskRequest& task : aSubmission.tasks_) {
    bytes += task.body_.size();
  }
  return bytes;
}

} // namespace

const gpServiceConfig*
gpAdmissionPolicy::FindService(const gpServiceName& aService) const
{
  if (!configuration_.has_value()) {
    return nullptr;
  }
  const auto found = configuration_->services_.find(aService);
  return found == configuration_->services_.end() ? nullptr : &found->second;
}

std::optional<gpFailure>
gpAdmissionPolicy::Check(const gpSubmission& aSubmission,
                         std::size_t aWaiting,
                         gpGuardDirectory& aGuards) const
{
  auto nameFailure = CheckNames(aSubmission);
  if (nameFailure.has_value()) {
    return nameFailure;
  }
  const gpServiceConfig& service = *FindService(aSubmission.service_);
  const std::size_t tasks = aSubmission.tasks_.size();
  if (tasks > service.limits_.jobTasks_ ||
      BodyBytes(aSubmission) > service.limits_.bodyBytes_ ||
      aSubmission.deadline_ > service.limits_.maxDeadline_) {
    return Refuse(gpFailureCode::TooLarge, std::nullopt);
  }
  const gpMicros meanRun = aGuards.GetMeanRun(aSubmission.service_);
  auto teamFailure = CheckTeam(aSubmission, meanRun);
  if (teamFailure.has_value()) {
    return teamFailure;
  }
  std::size_t slots = 0;
  for (const gpGuardView* guard : aGuards.ListUsable(aSubmission.service_)) {
    slots += guard->health_.IsEjected() ? 0 : guard->slots_;
  }
  if (slots == 0) {
    return Refuse(gpFailureCode::NoTarget, kDefaultRetryAfter);
  }
  const gpMicros perTask = meanRun / static_cast<std::int64_t>(slots);
  const gpMicros wait = perTask * static_cast<std::int64_t>(aWaiting);
  if (aWaiting + tasks > service.limits_.queueTasks_) {
    return Refuse(gpFailureCode::QueueFull, wait / 2);
  }
  const gpMicros work =
    std::max(perTask * static_cast<std::int64_t>(tasks), meanRun);
  if (wait + work > aSubmission.deadline_) {
    return Refuse(gpFailureCode::DeadlineUnmeetable,
                  wait + work - aSubmission.deadline_);
  }
  return std::nullopt;
}

void
gpAdmissionPolicy::Reserve(const gpSubmission& aSubmission)
{
  teamTasks_[aSubmission.team_] += aSubmission.tasks_.size();
}

void
gpAdmissionPolicy::Release(const gpTeamName& aTeam, std::size_t aTasks)
{
  const auto found = teamTasks_.find(aTeam);
  if (found == teamTasks_.end()) {
    return;
  }
  found->second -= std::min(found->second, aTasks);
  if (found->second == 0) {
    teamTasks_.erase(found);
  }
}

std::optional<gpFailure>
gpAdmissionPolicy::CheckNames(const gpSubmission& aSubmission) const
{
  if (!configuration_.has_value()) {
    return Refuse(gpFailureCode::NoConfiguration, kDefaultRetryAfter);
  }
  if (FindService(aSubmission.service_) == nullptr) {
    return Refuse(gpFailureCode::UnknownService, std::nullopt);
  }
  const auto team = configuration_->teams_.find(aSubmission.team_);
  const bool known = team != configuration_->teams_.end() &&
                     team->second.services_.contains(aSubmission.service_);
  if (!known) {
    return Refuse(gpFailureCode::UnknownTeam, std::nullopt);
  }
  return std::nullopt;
}

std::optional<gpFailure>
gpAdmissionPolicy::CheckTeam(const gpSubmission& aSubmission,
                             gpMicros aMeanRun) const
{
  const gpTeamConfig& team = configuration_->teams_.at(aSubmission.team_);
  const auto taken = teamTasks_.find(aSubmission.team_);
  const std::size_t tasks = taken == teamTasks_.end() ? 0 : taken->second;
  if (aSubmission.tasks_.size() > team.maxTasks_) {
    return Refuse(gpFailureCode::TooLarge, std::nullopt);
  }
  if (tasks + aSubmission.tasks_.size() > team.maxTasks_) {
    return Refuse(gpFailureCode::QuotaExceeded, aMeanRun);
  }
  return std::nullopt;
}
