#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpIds.h"
#include "gpTime.h"

/// The result of a claim round.
enum class gpRoundResult
{
  Open,        ///< more verdicts are needed
  Won,         ///< two replicas granted; for a query: two know no claimant
  Held,        ///< another claimant has the key
  Answered,    ///< the key's answer is known
  OtherBody,   ///< another submission with another body has claimed the key
  StaleRoster, ///< a replica has a newer roster
  Unavailable, ///< too few replicas can give a verdict
};

/** \class gpClaimRound
 * \brief Sends one claim or query to the replicas of a key and counts their
 * verdicts. Two replicas are asked first; the third is asked if one of them
 * can't decide or doesn't reply.
 *
 * All grants that are counted in a round belong to one epoch of the roster.
 */
class gpClaimRound
{
public:
  enum class Kind
  {
    Claim, ///< claims the key
    Query, ///< asks which claimant has the key
    /// Asks all replicas for the answer of a claimant whose process has ended.
    FinalQuery,
  };

  gpClaimRound(Kind aKind,
               std::vector<gpIncarnation> aReplicas,
               gpRosterEpoch aEpoch);

  /// Returns the replicas to send the request to now, and counts them as asked.
  /// aIsLinked says whether a replica has a link; one without a link is
  /// skipped. For a replica that has not replied within aReplyTime the next one
  /// is asked.
  template<typename IsLinked>
  std::vector<gpIncarnation> TakeToAsk(gpTime aNow,
                                       gpMillis aReplyTime,
                                       IsLinked aIsLinked);
  void OnReply(gpIncarnation aReplica, const gpClaimReply& aReply, gpTime aNow);
  /// The link to a replica was lost.
  void OnUnreachable(gpIncarnation aReplica);

  gpRoundResult GetResult() const;
  Kind GetKind() const { return kind_; }
  gpRosterEpoch GetEpoch() const { return epoch_; }
  /// The claimant that has the key, if the result is Held.
  const std::optional<gpClaimant>& GetClaimant() const { return claimant_; }
  /// The answer of the key, if the result is Answered.
  const std::optional<gpAnswer>& GetAnswer() const { return answer_; }
  /// Replicas that granted the claim or may have granted it.
  std::vector<gpIncarnation> ListPossibleGrants() const;

private:
  enum class State
  {
    Idle,
    Asked,
    Silent, ///< asked, no reply in time; it may still arrive
    Granted,
    Denied, ///< can't grant the claim in this round
  };
  struct Replica
  {
    State state_ = State::Idle;
    gpTime askedAt_;
    /// The earliest time of the next request to a replica whose roster was
    /// older.
    gpTime notBefore_;
  };

  std::size_t Count(State aState) const;
  /// The number of replicas that the round needs to have asked or granted; more
  /// are asked only in place of those that deny or don't reply in time.
  std::size_t CountNeeded() const;
  void MarkSilent(gpTime aNow, gpMillis aReplyTime);

  Kind kind_;
  gpRosterEpoch epoch_;
  /// The replicas, the highest-ranked first.
  std::vector<gpIncarnation> order_;
  std::map<gpIncarnation, Replica> replicas_;
  std::optional<gpClaimant> claimant_;
  std::optional<gpAnswer> answer_;
  /// A replica has a claim of the key with another body.
  bool otherBody_ = false;
  /// A replica has a newer roster than epoch_.
  bool sawNewerRoster_ = false;
};

template<typename IsLinked>
std::vector<gpIncarnation>
gpClaimRound::TakeToAsk(gpTime aNow, gpMillis aReplyTime, IsLinked aIsLinked)
{
  const std::size_t needed = CountNeeded();
  MarkSilent(aNow, aReplyTime);
  std::vector<gpIncarnation> toAsk;
  for (const gpIncarnation guard : order_) {
    Replica& replica = replicas_.at(guard);
    const bool enough = Count(State::Asked) + Count(State::Granted) >= needed;
    if (enough || replica.state_ != State::Idle || replica.notBefore_ > aNow) {
      continue;
    }
    if (!aIsLinked(guard)) {
      replica.state_ = State::Denied;
      continue;
    }
    replica.state_ = State::Asked;
    replica.askedAt_ = aNow;
    toAsk.push_back(guard);
  }
  return toAsk;
}
