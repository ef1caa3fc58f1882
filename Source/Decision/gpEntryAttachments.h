#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpEffect.h"
#include "gpIds.h"
#include "gpJob.h"
#include "gpLinkTable.h"
#include "gpPeer.h"
#include "gpTime.h"

/// How the attachment of a job to another claimant ended.
enum class gpAttachmentEnd
{
  Answered,      ///< the claimant sent the answer
  Withdrawn,     ///< the claimant withdrew its claim and started no task
  ClaimantEnded, ///< the claimant's process has ended
  Unreachable,   ///< the claimant was unreachable for too long
};

/** \class gpAttachmentResult
 * \brief The result of the attachment of one job to another claimant.
 */
struct gpAttachmentResult
{
  gpJobId job_;
  gpAttachmentEnd end_ = gpAttachmentEnd::ClaimantEnded;
  std::optional<gpAnswer> answer_;
};

/** \class gpEntryAttachments
 * \brief Attaches jobs of this entry whose keys other entries have claimed:
 * requests and waits for the answers of those entries.
 */
class gpEntryAttachments
{
public:
  /// A claimant without a link for aUnlinkedTimeout counts as unreachable.
  gpEntryAttachments(gpMillis aUnlinkedTimeout, const gpLinkTable& aLinks);

  /// Attaches the job to the claimant. TakeResults returns the result.
  void Begin(const gpJob& aJob,
             const gpClaimant& aClaimant,
             gpTime aNow,
             gpEffects& aOut);
  /// Ends the attachment of the job, if there is one, without a result.
  void Abandon(const gpJobId& aJob, gpEffects& aOut);

  void OnEntryLink(gpLinkId aLink, const gpPeer& aPeer, gpEffects& aOut);
  void OnLinkLost(const gpPeer& aPeer, gpTime aNow);
  void OnDialFailed(const gpAddress& aAddress, bool aRefused, gpEffects& aOut);
  void OnReply(const gpAttachReply& aReply, gpEffects& aOut);
  void OnTime(gpTime aNow, gpEffects& aOut);
  std::vector<gpAttachmentResult> TakeResults();
  /// The next time at which OnTime has work to do; gpTime::max() if there is
  /// none.
  gpTime GetNextTime() const;

private:
  struct Attachment
  {
    gpServiceKey key_;
    gpClaimant claimant_;
    /// When the link to the claimant was lost, or when the attachment began if
    /// there was none. Not set while the claimant is linked.
    std::optional<gpTime> unlinkedSince_;
  };

  /// Asks the claimant for the answer of its job.
  void Ask(gpLinkId aLink,
           const Attachment& aAttachment,
           gpEffects& aOut) const;
  void Finish(const gpJobId& aJob,
              gpAttachmentEnd aEnd,
              std::optional<gpAnswer> aAnswer,
              gpEffects& aOut);
  std::vector<gpJobId> ListByAddress(const gpAddress& aAddress) const;

  gpMillis unlinkedTimeout_;
  const gpLinkTable& links_;
  std::map<gpJobId, Attachment> attachments_;
  /// The number of attachments that need a link to each address.
  std::map<gpAddress, std::size_t> watched_;
  std::vector<gpAttachmentResult> results_;
};
