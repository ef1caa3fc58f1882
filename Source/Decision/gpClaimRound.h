#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpIds.h"
#include "gpTime.h"

/// What a round of asking holders came to.
enum class gpRoundResult
{
  Open,        ///< more verdicts are needed
  Won,         ///< two holders granted; or, of a query, know of no claimant
  Held,        ///< another claimant has the key
  Answered,    ///< the key's answer is known
  OtherBody,   ///< the key belongs to a submission with another body
  StaleRoster, ///< the holders go by a newer roster
  Unavailable, ///< too few holders can say anything
};

/** \class gpClaimRound
 * \brief Asks the holders of one key, two at first, and counts their verdicts.
 *
 * All verdicts of a round belong to one epoch of the roster.
 */
class gpClaimRound
{
public:
  enum class Kind
  {
    Claim, ///< asks for the key
    Query, ///< asks who has the key
  };

  gpClaimRound(Kind aKind,
               std::vector<gpIncarnation> aHolders,
               gpRosterEpoch aEpoch);

  /// Holders to ask now. aIsLinked says whether one can be asked; a holder
  /// that is silent for aReplyTime makes room for the next.
  template<typename IsLinked>
  std::vector<gpIncarnation> TakeToAsk(gpTime aNow,
                                       gpMillis aReplyTime,
                                       IsLinked aIsLinked);
  void OnReply(gpIncarnation aHolder, const gpClaimReply& aReply, gpTime aNow);
  /// The link to a holder broke before it answered.
  void OnUnreachable(gpIncarnation aHolder);

  gpRoundResult GetResult() const;
  Kind GetKind() const { return kind_; }
  gpRosterEpoch GetEpoch() const { return epoch_; }
  /// The claimant that has the key, after Held.
  const std::optional<gpClaimant>& GetClaimant() const { return claimant_; }
  /// The key's answer, after Answered.
  const std::optional<gpAnswer>& GetAnswer() const { return answer_; }
  /// Holders that may have granted.
  std::vector<gpIncarnation> ListAsked() const;

private:
  enum class State
  {
    Idle,
    Asked,
    Silent, ///< asked, and no answer in time; it may still come
    Granted,
    Denied, ///< can't grant in this round
  };
  struct Holder
  {
    State state_ = State::Idle;
    gpTime askedAt_;
    /// A holder that was behind is asked again then.
    gpTime notBefore_;
  };

  std::size_t Count(State aState) const;
  void MarkSilent(gpTime aNow, gpMillis aReplyTime);

  Kind kind_;
  gpRosterEpoch epoch_;
  std::vector<gpIncarnation> order_;
  std::map<gpIncarnation, Holder> holders_;
  std::optional<gpClaimant> claimant_;
  std::optional<gpAnswer> answer_;
  bool otherBody_ = false;
  bool stale_ = false;
};

template<typename IsLinked>
std::vector<gpIncarnation>
gpClaimRound::TakeToAsk(gpTime aNow, gpMillis aReplyTime, IsLinked aIsLinked)
{
  constexpr std::size_t kNeeded = 2;
  MarkSilent(aNow, aReplyTime);
  std::vector<gpIncarnation> toAsk;
  for (const gpIncarnation guard : order_) {
    Holder& holder = holders_.at(guard);
    const bool enough = Count(State::Asked) + Count(State::Granted) >= kNeeded;
    if (enough || holder.state_ != State::Idle || holder.notBefore_ > aNow) {
      continue;
    }
    if (!aIsLinked(guard)) {
      holder.state_ = State::Denied;
      continue;
    }
    holder.state_ = State::Asked;
    holder.askedAt_ = aNow;
    toAsk.push_back(guard);
  }
  return toAsk;
}
