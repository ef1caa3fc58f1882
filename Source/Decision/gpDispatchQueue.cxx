#include "gpDispatchQueue.h"

#include <algorithm>

namespace {

/// Charge for one task of a team with weight 1.
constexpr std::uint64_t kUnit = 1000000;

} // namespace

void
gpDispatchQueue::Push(const gpTeamName& aTeam,
                      std::uint32_t aWeight,
                      gpTime aRank,
                      const gpTaskId& aTask)
{
  Team& team = teams_[aTeam];
  team.weight_ = aWeight;
  if (team.waiting_.empty()) {
    // A team gets no credit for the time in which it had no waiting tasks. With
    // credit it would block the other teams until it had caught up.
    team.charged_ = std::max(team.charged_, virtualTime_);
    AddToOrder(aTeam, team);
  }
  team.waiting_.emplace(aRank, aTask);
  positions_.insert_or_assign(aTask, Position{ aTeam, aRank });
}

void
gpDispatchQueue::Remove(const gpTaskId& aTask)
{
  const auto found = positions_.find(aTask);
  if (found == positions_.end()) {
    return;
  }
  const Position position = found->second;
  positions_.erase(found);
  Team& team = teams_.at(position.team_);
  team.waiting_.erase({ position.rank_, aTask });
  if (team.waiting_.empty()) {
    RemoveFromOrder(position.team_, team);
  }
}

std::optional<gpTaskId>
gpDispatchQueue::Peek() const
{
  if (order_.empty()) {
    return std::nullopt;
  }
  const Team& team = teams_.at(order_.begin()->second);
  return team.waiting_.begin()->second;
}

void
gpDispatchQueue::Pop()
{
  if (order_.empty()) {
    return;
  }
  const gpTeamName name = order_.begin()->second;
  Team& team = teams_.at(name);
  RemoveFromOrder(name, team);
  virtualTime_ = team.charged_;
  team.charged_ += kUnit / team.weight_;
  AddToOrder(name, team);
  Remove(gpTaskId(team.waiting_.begin()->second));
}

void
gpDispatchQueue::AddToOrder(const gpTeamName& aName, const Team& aTeam)
{
  order_.emplace(aTeam.charged_, aName);
}

void
gpDispatchQueue::RemoveFromOrder(const gpTeamName& aName, const Team& aTeam)
{
  order_.erase({ aTeam.charged_, aName });
}
