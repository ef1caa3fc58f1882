#pragma once

#include <functional>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "gpCheckpointedFold.h"
#include "gpMessage.h"
#include "gpRosterRecord.h"

/// The effect of a record, or of an update from another process, on the roster.
enum class gpRosterStep
{
  Changed,   ///< a join or a removal created a new epoch
  TakenOver, ///< the roster of a checkpoint or of another process replaced the
             ///< former one; the handler wasn't called for the epochs between
  BadRecord, ///< the record can't be parsed; skipped
};

/** \class gpRosterEvent
 * \brief One step, and the roster after it.
 */
struct gpRosterEvent
{
  gpRosterStep step_ = gpRosterStep::BadRecord;
  /// Offset of the record; for TakenOver the last offset that the new roster
  /// includes.
  gpLogOffset offset_;
  /// Valid only during the call of the handler.
  const gpRoster& roster_;
  /// Why the record was skipped; ok if it was not.
  absl::Status error_;
};

/** \class gpRosterStream
 * \brief Folds the stream `roster` of the log.
 *
 * The handler is called for each epoch in order, except for those skipped by
 * TakenOver. A join of a guard that is already a member and a removal of a
 * guard that isn't one have no effect.
 */
class gpRosterStream : public gpCheckpointedFold<gpRoster, gpRosterChange>
{
public:
  using Handler = std::function<void(const gpRosterEvent&)>;

  /// The handler is called from within Fold and Adopt, and must not call them.
  explicit gpRosterStream(Handler aHandler);

  /// Takes over the roster from another process if this process has no roster
  /// yet. Returns whether it was taken over.
  bool Adopt(const gpRosterUpdate& aUpdate);
  /// The update with which this process sends its roster to others; nullopt
  /// before the first epoch.
  std::optional<gpRosterUpdate> MakeUpdate() const;

private:
  absl::StatusOr<Record> Parse(const std::string& aData) const override;
  std::uint64_t ProgressOf(const gpRoster& aState) const override;
  void Apply(gpRoster& aState,
             const gpRosterChange& aChange,
             gpLogOffset aOffset) override;
  void OnStateReplaced(const gpRoster& aState, gpLogOffset aAsOf) override;
  void OnBadRecord(gpLogOffset aOffset, const absl::Status& aError) override;

  Handler handler_;
};
