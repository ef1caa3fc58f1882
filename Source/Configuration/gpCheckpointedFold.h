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
 * \brief A state as it was when all records up to an offset had been folded.
 */
template<typename State>
struct gpCheckpoint
{
  /// The last record that the state takes into account.
  gpLogOffset asOf_;
  State state_;
};

/** \class gpCheckpointedFold
 * \brief Folds the records of a stream into a state, also where the log no
 * longer keeps the stream's beginning.
 *
 * The log gives consecutive offsets. As long as every record has been seen,
 * the fold is current and judges each change. After a gap it keeps its state,
 * but judges no change until a checkpoint (or an offer of another process)
 * closes the gap; the records after the checkpoint's offset are then folded
 * again. A state never gives way to one with less progress.
 */
template<typename State, typename Change>
class gpCheckpointedFold
{
public:
  using Record = std::variant<Change, gpCheckpoint<State>>;

  virtual ~gpCheckpointedFold() = default;
  gpCheckpointedFold(const gpCheckpointedFold&) = delete;
  gpCheckpointedFold& operator=(const gpCheckpointedFold&) = delete;

  /// Folds one record. Records that have been folded are ignored.
  void Fold(gpLogOffset aOffset, const std::string& aData);
  /// Tells the oldest offset that the log still keeps, as each read gives it.
  void SetEarliest(gpLogOffset aEarliest);

  /// The newest state known.
  const State& GetState() const { return state_; }
  /// Whether the state takes all records before NextOffset into account.
  bool IsCurrent() const { return foldedTo_ == readTo_; }
  /// The offset to read from.
  gpLogOffset NextOffset() const { return gpLogOffset(readTo_); }
  /// The last record that the state takes into account.
  std::optional<gpLogOffset> AsOf() const;
  /// The oldest offset from which a reader without state can begin: as long
  /// as the log keeps it, no new checkpoint is needed. 0 without checkpoints.
  gpLogOffset RecoverableFrom() const { return gpLogOffset(recoverableFrom_); }

protected:
  gpCheckpointedFold() = default;

  /// Takes over a state of another process if it has more progress, or closes
  /// the gap. Returns whether it was taken.
  bool Offer(State aState, gpLogOffset aAsOf);

private:
  virtual absl::StatusOr<Record> Parse(const std::string& aData) const = 0;
  /// A number that grows with each change of the state.
  virtual std::uint64_t ProgressOf(const State& aState) const = 0;
  /// Judges a change and makes it, if it's accepted.
  virtual void Apply(State& aState,
                     const Change& aChange,
                     gpLogOffset aOffset) = 0;
  /// Another state has taken the place of the one before.
  virtual void OnTakenOver(const State& aState, gpLogOffset aAsOf) = 0;
  /// A record could not be read, and was skipped.
  virtual void OnBadRecord(gpLogOffset aOffset, const absl::Status& aWhy) = 0;

  struct Kept
  {
    std::uint64_t offset_ = 0;
    std::size_t bytes_ = 0;
    Change change_;
  };

  /// Changes of the last records are kept, up to this size as they stood in
  /// the log, to be folded again after a checkpoint.
  static constexpr std::size_t kKeptBytes = 8U << 20U;

  void FoldChange(std::uint64_t aOffset, Change aChange, std::size_t aBytes);
  void FoldCheckpoint(gpLogOffset aOffset, gpCheckpoint<State> aCheckpoint);
  bool Reaches(std::uint64_t aFoldedTo) const { return keptFrom_ <= aFoldedTo; }
  void TakeOver(State aState, gpLogOffset aAsOf);
  void FoldKeptAgain();
  void DropOldKept();
  /// Counts the record at readTo_ as read.
  void Advance();

  State state_{};
  /// All records before this offset are in state_.
  std::uint64_t foldedTo_ = 0;
  /// All records before this offset have been read, or are gone.
  std::uint64_t readTo_ = 0;
  /// The changes of all records from keptFrom_ up to readTo_ are in kept_.
  std::uint64_t keptFrom_ = 0;
  std::deque<Kept> kept_;
  std::size_t keptBytes_ = 0;
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
  keptFrom_ = readTo_;
  kept_.clear();
  keptBytes_ = 0;
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
  kept_.push_back({ aOffset, aBytes, std::move(aChange) });
  keptBytes_ += aBytes;
  DropOldKept();
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
                            "a checkpoint as of its own offset or later"));
    return;
  }
  const std::uint64_t next = aCheckpoint.asOf_.value_ + 1;
  recoverableFrom_ = std::max(recoverableFrom_, next);
  const bool hasState = foldedTo_ > 0;
  if (hasState || Reaches(next)) {
    Offer(std::move(aCheckpoint.state_), aCheckpoint.asOf_);
  }
}

template<typename State, typename Change>
bool
gpCheckpointedFold<State, Change>::Offer(State aState, gpLogOffset aAsOf)
{
  const std::uint64_t mine = ProgressOf(state_);
  const std::uint64_t theirs = ProgressOf(aState);
  const bool closesGap = !IsCurrent() && Reaches(aAsOf.value_ + 1);
  if (theirs < mine || (theirs == mine && !closesGap)) {
    return false;
  }
  TakeOver(std::move(aState), aAsOf);
  return true;
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::TakeOver(State aState, gpLogOffset aAsOf)
{
  state_ = std::move(aState);
  foldedTo_ = aAsOf.value_ + 1;
  OnTakenOver(state_, aAsOf);
  if (foldedTo_ >= readTo_) {
    SetEarliest(gpLogOffset(foldedTo_));
  } else if (Reaches(foldedTo_)) {
    FoldKeptAgain();
  }
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::FoldKeptAgain()
{
  for (const Kept& kept : kept_) {
    if (kept.offset_ >= foldedTo_) {
      Apply(state_, kept.change_, gpLogOffset(kept.offset_));
    }
  }
  foldedTo_ = readTo_;
}

template<typename State, typename Change>
void
gpCheckpointedFold<State, Change>::DropOldKept()
{
  while (keptBytes_ > kKeptBytes) {
    keptFrom_ = kept_.front().offset_ + 1;
    keptBytes_ -= kept_.front().bytes_;
    kept_.pop_front();
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
