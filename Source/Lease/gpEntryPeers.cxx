#include "gpEntryPeers.h"

#include <utility>

void
gpEntryPeers::OnLinked(const gpLinkOpened& aEvent)
{
  if (aEvent.dialed_.has_value()) {
    finder_.OnLinked(*aEvent.dialed_, aEvent.link_, aEvent.peer_.incarnation_);
    return;
  }
  accepted_.insert(aEvent.link_);
  finder_.Learn({ gpKnownEntry{ aEvent.peer_.address_, {}, 0 } });
}

void
gpEntryPeers::OnLost(gpLinkId aLink, gpTime aNow)
{
  accepted_.erase(aLink);
  finder_.OnLost(aLink, aNow);
}

void
gpEntryPeers::Update(const std::map<gpLinkId, gpIncarnation>& aGuards,
                     gpTime aNow,
                     gpLeaseEffects& aOut)
{
  finder_.Update(aNow, aOut);
  for (const gpLinkId link : finder_.ListSurplus(aNow)) {
    finder_.Release(link, aOut);
  }
  if (!crashes_.empty()) {
    gpEntryUpdate told;
    told.crashes_ = std::exchange(crashes_, {});
    for (const auto& [link, guard] : aGuards) {
      aOut.Send(link, told);
    }
    SendToEntries(told, aOut);
  }
  TellEnded(aNow, aOut);
  const auto update = finder_.TakeUpdate(aNow);
  if (!update.has_value()) {
    return;
  }
  for (const auto& [link, guard] : aGuards) {
    aOut.Send(link, *update);
  }
  SendToEntries(*update, aOut);
}

void
gpEntryPeers::TellEnded(gpTime aNow, gpLeaseEffects& aOut)
{
  const bool isEmpty = ended_.cancelled_.empty() && ended_.completed_.empty();
  if (isEmpty || aNow < nextTell_) {
    return;
  }
  nextTell_ = aNow + kTellPeriod;
  SendToEntries(std::exchange(ended_, {}), aOut);
}

void
gpEntryPeers::SendToEntries(const gpEntryUpdate& aUpdate,
                            gpLeaseEffects& aOut) const
{
  for (const gpLinkId link : accepted_) {
    aOut.Send(link, aUpdate);
  }
  for (const auto& [link, entry] : finder_.GetLinks()) {
    aOut.Send(link, aUpdate);
  }
}
