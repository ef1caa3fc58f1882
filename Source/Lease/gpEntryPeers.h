#pragma once

#include <map>
#include <set>
#include <vector>

#include "gpEntryFinder.h"
#include "gpPeer.h"

/** \class gpEntryPeers
 * \brief An entry's links with some of the other entries. Over these links
 * entries exchange the list of known entries, which they also send to their
 * guards.
 */
class gpEntryPeers
{
public:
  /// aSelf is this entry; it dials aLinks other entries.
  gpEntryPeers(const gpKnownEntry& aSelf, std::size_t aLinks)
    : finder_({ aSelf, aSelf.address_.value_, aLinks })
  {
  }

  void SetConfigured(const std::vector<gpAddress>& aEntries)
  {
    finder_.SetConfigured(aEntries);
  }
  void Learn(const gpEntryUpdate& aUpdate) { finder_.Learn(aUpdate.entries_); }
  /// A link with another entry has opened; gpLinkOpened::dialed_ is set if this
  /// entry dialed it.
  void OnLinked(const gpLinkOpened& aEvent);
  void OnLost(gpLinkId aLink, gpTime aNow);
  void OnDialFailed(const gpAddress& aEntry, gpTime aNow)
  {
    finder_.OnDialFailed(aEntry, aNow);
  }
  /// Sends the crash to all linked entries and guards with the next update.
  void Forward(const gpTargetCrash& aCrash) { crashes_.push_back(aCrash); }
  /// Sends the cancelled job to all linked entries, with others at most once
  /// in kTellPeriod.
  void TellCancelled(const gpEndedJob& aJob)
  {
    ended_.cancelled_.push_back(aJob);
  }
  /// Likewise for a job that this entry has completed.
  void TellCompleted(const gpEndedJob& aJob)
  {
    ended_.completed_.push_back(aJob);
  }
  /// The list of known entries, for a process whose link has just opened.
  gpEntryUpdate MakeUpdate(gpTime aNow) const
  {
    return finder_.MakeUpdate(aNow);
  }
  /// Updates the choice of entries and closes surplus links. Sends newly
  /// learned entries and crashes to all linked entries and to the guards, and
  /// ended jobs to the entries.
  void Update(const std::map<gpLinkId, gpIncarnation>& aGuards,
              gpTime aNow,
              gpLeaseEffects& aOut);
  /// Sends the ended jobs that are still to be sent, before this process ends.
  void TellLast(gpTime aNow, gpLeaseEffects& aOut)
  {
    nextTell_ = aNow;
    TellEnded(aNow, aOut);
  }
  /// Number of open links that this entry dialed.
  std::size_t CountDialed() const { return finder_.GetLinks().size(); }

private:
  /// Bounds the messages on each link. The time is short compared to that in
  /// which a request may arrive once more.
  static constexpr gpMillis kTellPeriod{ 5 };

  void TellEnded(gpTime aNow, gpLeaseEffects& aOut);
  void SendToEntries(const gpEntryUpdate& aUpdate, gpLeaseEffects& aOut) const;

  gpEntryFinder finder_;
  /// Open links that other entries dialed.
  std::set<gpLinkId> accepted_;
  /// Crashes that are to be forwarded.
  std::vector<gpTargetCrash> crashes_;
  /// Ended jobs that are to be sent.
  gpEntryUpdate ended_;
  /// When the next ended jobs may be sent.
  gpTime nextTell_;
};
