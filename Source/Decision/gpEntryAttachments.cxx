#include "gpEntryAttachments.h"

#include <algorithm>
#include <utility>

gpEntryAttachments::gpEntryAttachments(gpMillis aUnlinkedTimeout,
                                       const gpLinkTable& aLinks)
  : unlinkedTimeout_(aUnlinkedTimeout)
  , links_(aLinks)
{
}

void
gpEntryAttachments::Begin(const gpJob& aJob,
                          const gpClaimant& aClaimant,
                          gpTime aNow,
                          gpEffects& aOut)
{
  Attachment attachment{ *gpKeyOf(aJob), aClaimant, aNow };
  if (watched_[aClaimant.address_]++ == 0) {
    aOut.Add(gpWatchAddress{ aClaimant.address_ });
  }
  const auto link = links_.FindLink(aClaimant.job_.entry_);
  if (link.has_value()) {
    attachment.unlinkedSince_.reset();
    Ask(*link, attachment, aOut);
  }
  attachments_.insert_or_assign(aJob.id_, std::move(attachment));
}

void
gpEntryAttachments::Abandon(const gpJobId& aJob, gpEffects& aOut)
{
  const auto found = attachments_.find(aJob);
  if (found == attachments_.end()) {
    return;
  }
  const gpAddress address = found->second.claimant_.address_;
  attachments_.erase(found);
  const auto watch = watched_.find(address);
  if (--watch->second == 0) {
    watched_.erase(watch);
    aOut.Add(gpUnwatchAddress{ address });
  }
}

void
gpEntryAttachments::OnEntryLink(gpLinkId aLink,
                                const gpPeer& aPeer,
                                gpEffects& aOut)
{
  for (const gpJobId& job : ListByAddress(aPeer.address_)) {
    Attachment& attachment = attachments_.at(job);
    if (attachment.claimant_.job_.entry_ == aPeer.incarnation_) {
      attachment.unlinkedSince_.reset();
      Ask(aLink, attachment, aOut);
    } else {
      // Another process uses the claimant's address, so the claimant has ended.
      Finish(job, gpAttachmentEnd::ClaimantEnded, std::nullopt, aOut);
    }
  }
}

void
gpEntryAttachments::OnLinkLost(const gpPeer& aPeer, gpTime aNow)
{
  for (auto& [job, attachment] : attachments_) {
    if (attachment.claimant_.job_.entry_ == aPeer.incarnation_) {
      attachment.unlinkedSince_ = aNow;
    }
  }
}

void
gpEntryAttachments::OnDialFailed(const gpAddress& aAddress,
                                 bool aRefused,
                                 gpEffects& aOut)
{
  if (!aRefused) {
    return;
  }
  // A refused connection means that the machine is up and that no process
  // listens at the address, so the claimant's process has ended.
  for (const gpJobId& job : ListByAddress(aAddress)) {
    Finish(job, gpAttachmentEnd::ClaimantEnded, std::nullopt, aOut);
  }
}

void
gpEntryAttachments::OnReply(const gpAttachReply& aReply, gpEffects& aOut)
{
  std::vector<gpJobId> jobs;
  for (const auto& [job, attachment] : attachments_) {
    if (attachment.claimant_.job_ == aReply.job_) {
      jobs.push_back(job);
    }
  }
  const bool answered = aReply.answer_.has_value();
  for (const gpJobId& job : jobs) {
    Finish(job,
           answered ? gpAttachmentEnd::Answered : gpAttachmentEnd::Withdrawn,
           aReply.answer_,
           aOut);
  }
}

void
gpEntryAttachments::OnTime(gpTime aNow, gpEffects& aOut)
{
  std::vector<gpJobId> late;
  for (const auto& [job, attachment] : attachments_) {
    if (attachment.unlinkedSince_.has_value() &&
        *attachment.unlinkedSince_ + unlinkedTimeout_ <= aNow) {
      late.push_back(job);
    }
  }
  for (const gpJobId& job : late) {
    Finish(job, gpAttachmentEnd::Unreachable, std::nullopt, aOut);
  }
}

std::vector<gpAttachmentResult>
gpEntryAttachments::TakeResults()
{
  return std::exchange(results_, {});
}

gpTime
gpEntryAttachments::GetNextTime() const
{
  gpTime next = gpTime::max();
  for (const auto& [job, attachment] : attachments_) {
    if (attachment.unlinkedSince_.has_value()) {
      next = std::min(next, *attachment.unlinkedSince_ + unlinkedTimeout_);
    }
  }
  return next;
}

void
gpEntryAttachments::Ask(gpLinkId aLink,
                        const Attachment& aAttachment,
                        gpEffects& aOut) const
{
  aOut.Send(aLink,
            gpAttachRequest{ aAttachment.key_, aAttachment.claimant_.job_ });
}

void
gpEntryAttachments::Finish(const gpJobId& aJob,
                           gpAttachmentEnd aEnd,
                           std::optional<gpAnswer> aAnswer,
                           gpEffects& aOut)
{
  Abandon(aJob, aOut);
  results_.push_back({ aJob, aEnd, std::move(aAnswer) });
}

std::vector<gpJobId>
gpEntryAttachments::ListByAddress(const gpAddress& aAddress) const
{
  std::vector<gpJobId> jobs;
  for (const auto& [job, attachment] : attachments_) {
    if (attachment.claimant_.address_ == aAddress) {
      jobs.push_back(job);
    }
  }
  return jobs;
}
