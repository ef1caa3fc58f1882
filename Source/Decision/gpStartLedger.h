#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "gpIds.h"
#include "gpStartMessages.h"
#include "gpTime.h"

/// The decision of the ledger on a request to start a task.
enum class gpAdmission
{
  Admitted,   ///< first start; the task now counts as started
  Duplicate,  ///< this task was started before
  Tombstoned, ///< this attempt was refused before
};

/** \class gpStartLedger
 * \brief Admits each task at most once at this guard, even if starts are
 * repeated or arrive after their refusal.
 *
 * The record of a task is kept for the retention after its last change.
 */
class gpStartLedger
{
public:
  explicit gpStartLedger(gpMillis aRetention);

  /// The retention must be longer than the deadline of any job. No task starts
  /// after its deadline, so then an expired record can't lead to a second
  /// start.
  void SetRetention(gpMillis aRetention) { retention_ = aRetention; }
  /// Admits the attempt unless the task was started or the attempt refused.
  gpAdmission Admit(const gpAttemptId& aAttempt, gpTime aNow);
  /// Records that the attempt was not run and never will be. An admitted
  /// attempt may be refused only if nothing was sent to the target.
  void Refuse(const gpAttemptId& aAttempt, gpTime aNow);
  /// Records the result of a started task.
  void End(const gpStartResult& aResult, gpTime aNow);
  /// Returns the state of the attempt. An attempt that was never seen is
  /// refused from now on, so the entry may send the task elsewhere.
  gpAttemptState Resolve(const gpAttemptId& aAttempt, gpTime aNow);
  /// The result of a task that has ended; null if the task has not ended or its
  /// result has expired.
  const gpStartResult* FindResult(const gpTaskId& aTask) const;
  /// Removes records and results whose retention has passed.
  void Expire(gpTime aNow);
  std::size_t GetSize() const { return records_.size(); }

private:
  enum class State
  {
    Refused,
    Running,
    Ended,
  };
  struct Record
  {
    State state_ = State::Refused;
    /// The attempt that was started.
    gpAttempt started_;
    /// Attempts up to this one are refused.
    gpAttempt refusedThrough_;
    std::optional<gpStartResult> result_;
    gpTime changed_;
  };
  struct Expiry
  {
    gpTime when_;
    gpTaskId task_;
  };

  /// The record of the task, which is created if it is missing. Sets the time
  /// of its last change.
  Record& Touch(const gpTaskId& aTask, gpTime aNow);
  /// Erases the record if its retention has passed and the task is not running;
  /// else schedules the next check.
  void ExpireRecord(const gpTaskId& aTask, gpTime aNow);

  gpMillis retention_;
  absl::flat_hash_map<gpTaskId, Record> records_;
  /// When to check whether a record may be erased; one per record.
  std::deque<Expiry> expiries_;
  /// When results are erased; their records stay.
  std::deque<Expiry> resultExpiries_;
};
