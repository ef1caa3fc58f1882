#include "gpRosterStream.h"

#include <algorithm>

namespace {

/// Number of members from which a service counts as formed: its claims can be
/// granted from then on.
constexpr std::ptrdiff_t kMinMembersToForm = 2;

// Marks a service as formed once it has enough members. It stays formed, also
// when members are removed later.
void
UpdateFormed(gpRoster& aRoster, const gpServiceName& aService)
{
  if (aRoster.claimableServices_.contains(aService)) {
    return;
  }
  const auto isOfService = [&](const auto& aMember) {
    return aMember.second.service_ == aService;
  };
  const auto members = std::count_if(
    aRoster.members_.begin(), aRoster.members_.end(), isOfService);
  if (members >= kMinMembersToForm) {
    aRoster.claimableServices_[aService] = true;
  }
}

// Both overloads return whether the roster changed.
bool
Change(gpRoster& aRoster, const gpJoinRecord& aJoin)
{
  const gpMember& member = aJoin.member_;
  if (!aRoster.members_.emplace(member.guard_, member).second) {
    return false;
  }
  UpdateFormed(aRoster, member.service_);
  return true;
}

bool
Change(gpRoster& aRoster, const gpRemoveRecord& aRemove)
{
  std::size_t removed = 0;
  for (const gpIncarnation guard : aRemove.guards_) {
    removed += aRoster.members_.erase(guard);
  }
  return removed > 0;
}

} // namespace

gpRosterStream::gpRosterStream(Handler aHandler)
  : handler_(std::move(aHandler))
{
}

bool
gpRosterStream::Adopt(const gpRosterUpdate& aUpdate)
{
  const gpRosterEpoch epoch = aUpdate.roster_.epoch_;
  if (GetState().epoch_ != gpRosterEpoch() || epoch == gpRosterEpoch()) {
    return false;
  }
  // The epoch is one more than the offset of the record that created it.
  // Records that the sender read after that one had no effect on the roster, so
  // it is safe to fold them again here.
  return TryReplaceState(aUpdate.roster_, gpLogOffset(epoch.value_ - 1));
}

std::optional<gpRosterUpdate>
gpRosterStream::MakeUpdate() const
{
  if (GetState().epoch_ == gpRosterEpoch()) {
    return std::nullopt;
  }
  return gpRosterUpdate{ GetState() };
}

absl::StatusOr<gpRosterStream::Record>
gpRosterStream::Parse(const std::string& aData) const
{
  return gpParseRosterRecord(aData);
}

std::uint64_t
gpRosterStream::ProgressOf(const gpRoster& aState) const
{
  return aState.epoch_.value_;
}

void
gpRosterStream::Apply(gpRoster& aState,
                      const gpRosterChange& aChange,
                      gpLogOffset aOffset)
{
  const bool changed = std::visit(
    [&](const auto& aRecord) { return Change(aState, aRecord); }, aChange);
  if (!changed) {
    return;
  }
  aState.epoch_ = gpRosterEpoch(aOffset.value_ + 1);
  handler_({ gpRosterStep::Changed, aOffset, aState, absl::OkStatus() });
}

void
gpRosterStream::OnStateReplaced(const gpRoster& aState, gpLogOffset aAsOf)
{
  handler_({ gpRosterStep::TakenOver, aAsOf, aState, absl::OkStatus() });
}

void
gpRosterStream::OnBadRecord(gpLogOffset aOffset, const absl::Status& aError)
{
  handler_({ gpRosterStep::BadRecord, aOffset, GetState(), aError });
}
