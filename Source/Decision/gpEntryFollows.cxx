#include "gpEntryFollows.h"

#include <algorithm>
#include <utility>

gpEntryFollows::gpEntryFollows(gpMillis aPatience, const gpLinkBook& aLinks)
  : patience_(aPatience)
  , links_(aLinks)
{
}

void
gpEntryFollows::Begin(const gpJob& aJob,
                      const gpClaimant& aClaimant,
                      gpTime aNow,
                      gpEffects& aOut)
{
  Follow follow{ *gpKeyOf(aJob), aClaimant, aNow };
  if (watched_[aClaimant.address_]++ == 0) {
    aOut.Add(gpWatchAddress{ aClaimant.address_ });
  }
  const auto link = links_.FindLink(aClaimant.job_.entry_);
  if (link.has_value()) {
    follow.unlinkedSince_.reset();
    Ask(*link, follow, aOut);
  }
  follows_.insert_or_assign(aJob.id_, std::move(follow));
}

void
gpEntryFollows::Abandon(const gpJobId& aJob, gpEffects& aOut)
{
  const auto found = follows_.find(aJob);
  if (found == follows_.end()) {
    return;
  }
  const gpAddress address = found->second.claimant_.address_;
  follows_.erase(found);
  const auto watch = watched_.find(address);
  if (--watch->second == 0) {
    watched_.erase(watch);
    aOut.Add(gpUnwatchAddress{ address });
  }
}

void
gpEntryFollows::OnEntryLink(gpLinkId aLink,
                            const gpPeer& aPeer,
                            gpEffects& aOut)
{
  for (const gpJobId& job : ListBy(aPeer.address_)) {
    Follow& follow = follows_.at(job);
    if (follow.claimant_.job_.entry_ == aPeer.incarnation_) {
      follow.unlinkedSince_.reset();
      Ask(aLink, follow, aOut);
    } else {
      // Another process uses the claimant's address, so the claimant has ended.
      Finish(job, gpFollowEnd::Gone, std::nullopt, aOut);
    }
  }
}

void
gpEntryFollows::OnLinkLost(const gpPeer& aPeer, gpTime aNow)
{
  for (auto& [job, follow] : follows_) {
    if (follow.claimant_.job_.entry_ == aPeer.incarnation_) {
      follow.unlinkedSince_ = aNow;
    }
  }
}

void
gpEntryFollows::OnDialFailed(const gpAddress& aAddress,
                             bool aRefused,
                             gpEffects& aOut)
{
  if (!aRefused) {
    return;
  }
  // A refused connection means that the machine is up and that no process
  // listens at the address, so the claimant's process has ended.
  for (const gpJobId& job : ListBy(aAddress)) {
    Finish(job, gpFollowEnd::Gone, std::nullopt, aOut);
  }
}

void
gpEntryFollows::OnReply(const gpAttachReply& aReply, gpEffects& aOut)
{
  std::vector<gpJobId> jobs;
  for (const auto& [job, follow] : follows_) {
    if (follow.claimant_.job_ == aReply.job_) {
      jobs.push_back(job);
    }
  }
  const bool answered = aReply.answer_.has_value();
  for (const gpJobId& job : jobs) {
    Finish(job,
           answered ? gpFollowEnd::Answered : gpFollowEnd::Withdrawn,
           aReply.answer_,
           aOut);
  }
}

void
gpEntryFollows::OnTime(gpTime aNow, gpEffects& aOut)
{
  std::vector<gpJobId> late;
  for (const auto& [job, follow] : follows_) {
    if (follow.unlinkedSince_.has_value() &&
        *follow.unlinkedSince_ + patience_ <= aNow) {
      late.push_back(job);
    }
  }
  for (const gpJobId& job : late) {
    Finish(job, gpFollowEnd::Unreachable, std::nullopt, aOut);
  }
}

std::vector<gpFollowResult>
gpEntryFollows::TakeResults()
{
  return std::exchange(results_, {});
}

gpTime
gpEntryFollows::GetNextTime() const
{
  gpTime next = gpTime::max();
  for (const auto& [job, follow] : follows_) {
    if (follow.unlinkedSince_.has_value()) {
      next = std::min(next, *follow.unlinkedSince_ + patience_);
    }
  }
  return next;
}

void
gpEntryFollows::Ask(gpLinkId aLink,
                    const Follow& aFollow,
                    gpEffects& aOut) const
{
  aOut.Send(aLink, gpAttachRequest{ aFollow.key_, aFollow.claimant_.job_ });
}

void
gpEntryFollows::Finish(const gpJobId& aJob,
                       gpFollowEnd aEnd,
                       std::optional<gpAnswer> aAnswer,
                       gpEffects& aOut)
{
  Abandon(aJob, aOut);
  results_.push_back({ aJob, aEnd, std::move(aAnswer) });
}

std::vector<gpJobId>
gpEntryFollows::ListBy(const gpAddress& aAddress) const
{
  std::vector<gpJobId> jobs;
  for (const auto& [job, follow] : follows_) {
    if (follow.claimant_.address_ == aAddress) {
      jobs.push_back(job);
    }
  }
  return jobs;
}
