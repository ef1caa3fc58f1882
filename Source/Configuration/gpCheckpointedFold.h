#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <absl/status/statusor.h>

#include "gpError.h"
#include "gpIds.h"

/** \class gpCheckpoint
 * \brief The state after folding all records up to and including an offset.
 */
template<typename State>
struct gpCheckpoint
{
  /// Offset of the last record that is included in the state.
  gpLogOffset asOf_;
  State state_;
};

/** \class gpCheckpointedFold
 * \brief Folds the records of a stream into a state. Works also if the log has
 * already deleted the oldest records of the stream.
 *
 * Offsets in the log are consecutive. While no record has been missed, the fold
 * is current and applies each change to the state at once. After a gap in the
 * records it keeps the state but applies no change, because whether a change is
 * accepted depends on the missed records. A checkpoint, or the state of another
 * process, closes the gap: it replaces the state, and the retained changes
 * after its offset are applied to it. A state is never replaced by one with
 * less progress (see ProgressOf).
 */
template<typename State, typename Change>
class gpCheckpointedFold
{
public:
  using Record = std::variant<Change, gpCheckpoint<State>>;

  virtual ~gpCheckpointedFold() = default;
  gpCheckpointedFold(const gpCheckpointedFold&) = delete;
  gpCheckpointedFold& operator=(const gpCheckpointedFold&) = delete;

  /// Folds one record. Records before NextOffset are ignored.
  void Fold(gpLogOffset aOffset, const std::string& aData);
  /// Sets the oldest offset that the log still holds; each read of the log
  /// returns it. If it is after NextOffset, the records in between were missed.
  void SetEarliest(gpLogOffset aEarliest);

  /// The newest state known to this process.
  const State& GetState() const { return state_; }
  /// Whether the state includes all records before NextOffset.
  bool IsCurrent() const { return foldedTo_ == readTo_; }
  /// The offset of the next record to read.
  gpLogOffset NextOffset() const { return gpLogOffset(readTo_); }
  /// Offset of the last record that is included in the state; nullopt if none
  /// is.
  std::optional<gpLogOffset> AsOf() const;
  /// The latest offset from which a reader without state can begin and still
  /// rebuild the state: the one after the offset of the newest checkpoint's
  /// state. While the log holds this offset, no new checkpoint is needed. 0 if
  /// no checkpoint has been read.
  gpLogOffset RecoverableFrom() const { return gpLogOffset(recoverableFrom_); }

protected:
  gpCheckpointedFold() = default;

  /// Replaces the state by one from a checkpoint or from another process if
  /// that one has more progress, or has the same progress and closes the gap.
  /// Returns whether the state was replaced.
  bool TryReplaceState(State aState, gpLogOffset aAsOf);

private:
  virtual absl::StatusOr<Record> Parse(const std::string& aData) const = 0;
  /// A number that increases with each change of the state; used to find out
  /// which of two states is newer.
  virtual std::uint64_t ProgressOf(const State& aState) const = 0;
  /// Checks a change against the state and applies it if it is accepted.
  virtual void Apply(State& aState,
                     const Change& aChange,
                     gpLogOffset aOffset) = 0;
  /// Called after the state was replaced as a whole by another one.
  virtual void OnStateReplaced(const State& aState, gpLogOffset aAsOf) = 0;
  /// Called for a record that could not be parsed and was skipped.
  virtual void OnBadRecord(gpLogOffset aOffset, const absl::Status& aError) = 0;

  struct RetainedChange
  {
    std::uint64_t offset_ = 0;
    /// Size of the record in the log.
    std::size_t bytes_ = 0;
    Change change_;
  };

  /// The changes of the latest records are retained, so that they can be
  /// applied to the state of a later checkpoint. This bounds their memory: it
  /// is the total size of their records in the log.
  static constexpr std::size_t kMaxRetainedBytes = 8U << 20U;

  void FoldChange(std::uint64_t aOffset, Change aChange, std::size_t aBytes);
  void FoldCheckpoint(gpLogOffset aOffset, gpCheckpoint<State> aCheckpoint);
  /// Whether all changes from this offset on are retained.
  bool RetainsFrom(std::uint64_t aFoldedTo) const
  {
    return retainedFrom_ <= aFoldedTo;
  }
  void ReplaceState(State aState, gpLogOffset aAsOf);
  /// Applies the retained changes that the state doesn't include yet.
  void RefoldRetained();
  void TrimRetained();
  /// Counts the record at readTo_ as read.
  void Advance();

  State state_{};
  /// All records before this offset are included in state_.
  std::uint64_t foldedTo_ = 0;
  /// All records before this offset have been read, or were deleted from the
  /// log before this process read them.
  std::uint64_t readTo_ = 0;
  /// The changes of all records from retainedFrom_ up to readTo_ are in
  /// retained_.
  std::uint64_t retainedFrom_ = 0;
  std::deque<RetainedChange> retained_;
  std::size_t retainedBytes_ = 0;
  std::uint64_t recoverableFrom_ = 0;
};

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::Fold(gpLogOffset aOffset,
                                        const std::string& aData)
{
  if (aOffset.value_ < readTo_) {
    return;
  }
  SetEarliest(aOffset);
  absl::StatusOr<Record> record = Parse(aData);
  if (!record.ok()) {
    OnBadRecord(aOffset, record.status());
  } else if (auto* change = std::get_if<Change>(&*record)) {
    FoldChange(aOffset.value_, std::move(*change), aData.size());
  } else {
    FoldCheckpoint(aOffset, std::get<gpCheckpoint<State>>(std::move(*record)));
  }
  Advance();
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::SetEarliest(gpLogOffset aEarliest)
{
  if (aEarliest.value_ <= readTo_) {
    return;
  }
  readTo_ = aEarliest.value_;
  retainedFrom_ = readTo_;
  retained_.clear();
  retainedBytes_ = 0;
}

template<typename State, typename Change>
std::optional<gpLogOffset>
gpCheckpointedFold<State, Change>::AsOf() const
{
  if (foldedTo_ == 0) {
    return std::nullopt;
  }
  return gpLogOffset(foldedTo_ - 1);
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::FoldChange(std::uint64_t aOffset,
                                              Change aChange,
                                              std::size_t aBytes)
{
  if (IsCurrent()) {
    Apply(state_, aChange, gpLogOffset(aOffset));
  }
  retained_.push_back({ aOffset, aBytes, std::move(aChange) });
  retainedBytes_ += aBytes;
  TrimRetained();
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::FoldCheckpoint(
  gpLogOffset aOffset,
  gpCheckpoint<State> aCheckpoint)
{
  if (aCheckpoint.asOf_ >= aOffset) {
    OnBadRecord(aOffset,
                gpMakeError(gpErrorCode::BadRecord,
                            "the checkpoint's as_of isn't before the "
                            "checkpoint's own offset"));
    return;
  }
  const std::uint64_t next = aCheckpoint.asOf_.value_ + 1;
  recoverableFrom_ = std::max(recoverableFrom_, next);
  const bool hasState = foldedTo_ > 0;
  if (hasState || RetainsFrom(next)) {
    TryReplaceState(std::move(aCheckpoint.state_), aCheckpoint.asOf_);
  }
}

template<typename State, typename Change>
bool
gpCheckpointedFold<State, Change>::TryReplaceState(State aState,
                                                   gpLogOffset aAsOf)
{
  const std::uint64_t mine = ProgressOf(state_);
  const std::uint64_t theirs = ProgressOf(aState);
  const bool closesGap = !IsCurrent() && RetainsFrom(aAsOf.value_ + 1);
  if (theirs < mine || (theirs == mine && !closesGap)) {
    return false;
  }
  ReplaceState(std::move(aState), aAsOf);
  return true;
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::ReplaceState(State aState, gpLogOffset aAsOf)
{
  state_ = std::move(aState);
  foldedTo_ = aAsOf.value_ + 1;
  OnStateReplaced(state_, aAsOf);
  // If the new state includes more records than were read here, reading
  // continues after them.
  if (foldedTo_ >= readTo_) {
    SetEarliest(gpLogOffset(foldedTo_));
  } else if (RetainsFrom(foldedTo_)) {
    RefoldRetained();
  }
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::RefoldRetained()
{
  for (const RetainedChange& retained : retained_) {
    if (retained.offset_ >= foldedTo_) {
      Apply(state_, retained.change_, gpLogOffset(retained.offset_));
    }
  }
  foldedTo_ = readTo_;
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::TrimRetained()
{
  while (retainedBytes_ > kMaxRetainedBytes) {
    retainedFrom_ = retained_.front().offset_ + 1;
    retainedBytes_ -= retained_.front().bytes_;
    retained_.pop_front();
  }
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::Advance()
{
  if (IsCurrent()) {
    ++foldedTo_;
  }
  ++readTo_;
}
