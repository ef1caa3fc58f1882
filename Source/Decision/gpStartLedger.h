#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "gpIds.h"
#include "gpStartMessages.h"
#include "gpTime.h"

/// What the ledger says to a start.
enum class gpAdmission
{
  Admitted,   ///< first time; the task counts as started from now on
  Duplicate,  ///< this task was started before
  Tombstoned, ///< this attempt was refused before
};

/** \class gpStartLedger
 * \brief Admits each task at most once at this guard, whatever is repeated.
 *
 * The record of a task lasts for the retention after its last change.
 */
class gpStartLedger
{
public:
  explicit gpStartLedger(gpMillis aRetention);

  /// Must be longer than any job's deadline, after which nothing starts.
  void SetRetention(gpMillis aRetention) { retention_ = aRetention; }
  /// Admits the attempt unless the task was started or the attempt refused.
  gpAdmission Admit(const gpAttemptId& aAttempt, gpTime aNow);
  /// Notes that the attempt is not run and never will be. An attempt that was
  /// admitted may be refused as long as nothing was sent to the target.
  void Refuse(const gpAttemptId& aAttempt, gpTime aNow);
  /// Notes the end of a started task.
  void End(const gpStartResult& aResult, gpTime aNow);
  /// What is known of the attempt; one never seen is refused from now on.
  gpAttemptState Resolve(const gpAttemptId& aAttempt, gpTime aNow);
  /// The result of a task that has ended; null if it isn't known any more.
  const gpStartResult* FindResult(const gpTaskId& aTask) const;
  /// Forgets what has outlasted its time.
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

  Record& Touch(const gpTaskId& aTask, gpTime aNow);
  void ExpireRecord(const gpTaskId& aTask, gpTime aNow);

  gpMillis retention_;
  absl::flat_hash_map<gpTaskId, Record> records_;
  std::deque<Expiry> expiries_;
  std::deque<Expiry> resultExpiries_;
};
