#include "gpStartLedger.h"

#include <algorithm>

namespace {

/// How long a result is kept, so that an entry whose link was lost can still
/// get it.
constexpr gpMillis kResultRetention{ 30000 };

} // namespace

gpStartLedger::gpStartLedger(gpMillis aRetention)
  : retention_(aRetention)
{
}

gpAdmission
gpStartLedger::Admit(const gpAttemptId& aAttempt, gpTime aNow)
{
  const auto found = records_.find(aAttempt.task_);
  if (found != records_.end()) {
    const Record& record = found->second;
    if (record.state_ != State::Refused) {
      return gpAdmission::Duplicate;
    }
    if (aAttempt.attempt_ <= record.refusedThrough_) {
      return gpAdmission::Tombstoned;
    }
  }
  Record& record = Touch(aAttempt.task_, aNow);
  record.state_ = State::Running;
  record.started_ = aAttempt.attempt_;
  return gpAdmission::Admitted;
}

void
gpStartLedger::Refuse(const gpAttemptId& aAttempt, gpTime aNow)
{
  Record& record = Touch(aAttempt.task_, aNow);
  record.refusedThrough_ = std::max(record.refusedThrough_, aAttempt.attempt_);
  if (record.state_ == State::Running && record.started_ == aAttempt.attempt_) {
    record.state_ = State::Refused;
  }
}

void
gpStartLedger::End(const gpStartResult& aResult, gpTime aNow)
{
  Record& record = Touch(aResult.task_, aNow);
  record.state_ = State::Ended;
  record.result_ = aResult;
  resultExpiries_.push_back({ aNow + kResultRetention, aResult.task_ });
}

gpAttemptState
gpStartLedger::Resolve(const gpAttemptId& aAttempt, gpTime aNow)
{
  const auto found = records_.find(aAttempt.task_);
  if (found == records_.end()) {
    Refuse(aAttempt, aNow);
    return gpAttemptState::NeverSeen;
  }
  const Record& record = found->second;
  if (record.state_ == State::Running) {
    return gpAttemptState::Running;
  }
  if (record.state_ == State::Ended) {
    return gpAttemptState::Ended;
  }
  const bool refused = aAttempt.attempt_ <= record.refusedThrough_;
  Refuse(aAttempt, aNow);
  return refused ? gpAttemptState::Refused : gpAttemptState::NeverSeen;
}

const gpStartResult*
gpStartLedger::FindResult(const gpTaskId& aTask) const
{
  const auto found = records_.find(aTask);
  if (found == records_.end() || !found->second.result_.has_value()) {
    return nullptr;
  }
  return &*found->second.result_;
}

void
gpStartLedger::Expire(gpTime aNow)
{
  while (!resultExpiries_.empty() && resultExpiries_.front().when_ <= aNow) {
    const auto found = records_.find(resultExpiries_.front().task_);
    if (found != records_.end()) {
      found->second.result_.reset();
    }
    resultExpiries_.pop_front();
  }
  while (!expiries_.empty() && expiries_.front().when_ <= aNow) {
    const gpTaskId task = expiries_.front().task_;
    expiries_.pop_front();
    ExpireRecord(task, aNow);
  }
}

gpStartLedger::Record&
gpStartLedger::Touch(const gpTaskId& aTask, gpTime aNow)
{
  const auto [found, isNew] = records_.try_emplace(aTask);
  found->second.changed_ = aNow;
  if (isNew) {
    expiries_.push_back({ aNow + retention_, aTask });
  }
  return found->second;
}

void
gpStartLedger::ExpireRecord(const gpTaskId& aTask, gpTime aNow)
{
  const auto found = records_.find(aTask);
  if (found == records_.end()) {
    return;
  }
  const gpTime end = found->second.changed_ + retention_;
  const bool mayErase = end <= aNow && found->second.state_ != State::Running;
  if (mayErase) {
    records_.erase(found);
    return;
  }
  expiries_.push_back({ std::max(end, aNow + retention_), aTask });
}
