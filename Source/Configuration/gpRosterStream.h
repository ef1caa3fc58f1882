#pragma once

#include <functional>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "gpCheckpointedFold.h"
#include "gpMessage.h"
#include "gpRosterRecord.h"

/// What a record did to the roster.
enum class gpRosterStep
{
  Changed,   ///< joins or removals made a new epoch
  TakenOver, ///< the roster of a checkpoint or of another process took its
             ///< place; epochs between the two were not seen
  BadRecord, ///< the record can't be read; skipped
};

/** \class gpRosterEvent
 * \brief One step of the roster, with the roster after it.
 */
struct gpRosterEvent
{
  gpRosterStep step_ = gpRosterStep::BadRecord;
  /// Offset of the record; for TakenOver the offset that the roster is as of.
  gpLogOffset offset_;
  /// Valid during the call of the handler only.
  const gpRoster& roster_;
  /// Why the record was skipped; ok if it was not.
  absl::Status why_;
};

/** \class gpRosterStream
 * \brief Folds the stream `roster` of the log.
 *
 * The handler sees each epoch in turn. Joins of members and removals of others
 * than members change nothing.
 */
class gpRosterStream : public gpCheckpointedFold<gpRoster, gpRosterChange>
{
public:
  using Handler = std::function<void(const gpRosterEvent&)>;

  /// The handler is called during Fold and Adopt; it must not call them.
  explicit gpRosterStream(Handler aHandler);

  /// Takes over the roster of another process if this one has none yet;
  /// returns whether it was taken.
  bool Adopt(const gpRosterNews& aNews);
  /// What this process tells others; nullopt before the first epoch.
  std::optional<gpRosterNews> MakeNews() const;

private:
  absl::StatusOr<Record> Parse(const std::string& aData) const override;
  std::uint64_t ProgressOf(const gpRoster& aState) const override;
  void Apply(gpRoster& aState,
             const gpRosterChange& aChange,
             gpLogOffset aOffset) override;
  void OnTakenOver(const gpRoster& aState, gpLogOffset aAsOf) override;
  void OnBadRecord(gpLogOffset aOffset, const absl::Status& aWhy) override;

  Handler handler_;
};
