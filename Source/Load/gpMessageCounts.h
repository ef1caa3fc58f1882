#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Messages sent by a process, by kind.
using gpMessageCounts = std::map<std::string, std::uint64_t>;

/// Parses the samples of `gypsumpoint_messages_total` in Prometheus text and
/// skips all other lines. The samples of one kind are added up, except those
/// with the label direction="received": each message is counted only by its
/// sender.
gpMessageCounts
gpParseMessageCounts(std::string_view aPrometheusText);

/// The increase of the counts between two readings of one process. If a count
/// is lower than before, the process was restarted, and the later count is the
/// increase.
gpMessageCounts
gpCountIncrease(const gpMessageCounts& aBefore, const gpMessageCounts& aAfter);

/** \class gpMessageDemand
 * \brief The work of a run, from which the needed messages follow.
 */
struct gpMessageDemand
{
  /// Jobs with an answer, complete or not.
  std::uint64_t answeredJobs_ = 0;
  /// Jobs with a key whose claim was granted: complete or failed ones.
  std::uint64_t claimedJobs_ = 0;
  /// Tasks of complete jobs.
  std::uint64_t tasks_ = 0;
};

/** \class gpMessageKindCount
 * \brief Messages of one kind in a run.
 */
struct gpMessageKindCount
{
  std::string kind_;
  std::uint64_t count_ = 0;
  std::uint64_t needed_ = 0;

  /// Messages sent in excess of those needed. 0 if fewer were sent than needed,
  /// so that it doesn't offset the excess of other kinds.
  std::uint64_t Excess() const
  {
    return count_ > needed_ ? count_ - needed_ : 0;
  }
};

/** \class gpMessageReport
 * \brief The messages that a run sent, compared with those needed.
 */
struct gpMessageReport
{
  std::vector<gpMessageKindCount> kinds_;
  /// Processes whose metrics could not be read both before and after.
  std::uint64_t unread_ = 0;
  /// Needed messages that were sent. Less than the sum of needed_ over the
  /// kinds if messages were batched.
  std::uint64_t needed_ = 0;
  /// Sum of the excess of all kinds; "beyond" in result files and reports.
  std::uint64_t excess_ = 0;

  /// Excess messages relative to the needed ones; 0 if none was needed.
  double ExcessShare() const;
};

/// Compares the messages of a run with those needed, which are: for each
/// answered job a `call` and an `answer`, which callers count; for each task a
/// `start` and a `start_result`; for each claim two each of `claim_request`,
/// `claim_reply` and `claim_outcome`. Messages of all other kinds count as
/// excess.
gpMessageReport
gpEvaluateMessages(const gpMessageCounts& aCounts,
                   const gpMessageDemand& aDemand);
