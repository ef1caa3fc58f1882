#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Messages sent by a process, by kind.
using gpMessageCounts = std::map<std::string, std::uint64_t>;

/// Reads the samples of `gypsumpoint_messages_total` from Prometheus text; all
/// other lines are skipped. Samples of one kind are added up, but for those
/// with a label direction="received": each message counts once, where it is
/// sent.
gpMessageCounts
gpParseMessageCounts(std::string_view aPrometheusText);

/// What was counted between two readings of one process. A count that went
/// down belongs to a process that started anew, and stands as it is.
gpMessageCounts
gpCountedBetween(const gpMessageCounts& aBefore, const gpMessageCounts& aAfter);

/** \class gpMessageNeed
 * \brief How much work the messages of a run had to carry.
 */
struct gpMessageNeed
{
  /// Jobs that were answered, complete or not.
  std::uint64_t answeredJobs_ = 0;
  /// Jobs with a key that got past their claim.
  std::uint64_t claimedJobs_ = 0;
  /// Tasks of jobs that are complete.
  std::uint64_t tasks_ = 0;
};

/** \class gpMessageLine
 * \brief Messages of one kind in a run.
 */
struct gpMessageLine
{
  std::string kind_;
  std::uint64_t count_ = 0;
  std::uint64_t needed_ = 0;

  /// What was sent beyond need; sending fewer is no credit for other kinds.
  std::uint64_t Beyond() const
  {
    return count_ > needed_ ? count_ - needed_ : 0;
  }
};

/** \class gpMessageReport
 * \brief The messages of a run against those needed.
 */
struct gpMessageReport
{
  std::vector<gpMessageLine> lines_;
  /// Processes whose metrics could not be read both before and after.
  std::uint64_t unread_ = 0;
  /// Messages sent that were needed; where some travelled together, fewer than
  /// the sum over the lines.
  std::uint64_t needed_ = 0;
  std::uint64_t beyond_ = 0;

  /// What was sent beyond need, relative to what was needed; 0 if nothing was.
  double BeyondShare() const;
};

/// Judges the messages of a run. Needed are: for each answered job a `call` and
/// its `answer`, which callers count; for each task a `start` and its
/// `start_result`; for each claim two of `claim_request`, `claim_reply` and
/// `claim_outcome`. Of every other kind none is needed.
gpMessageReport
gpJudgeMessages(const gpMessageCounts& aCounts, const gpMessageNeed& aNeed);
