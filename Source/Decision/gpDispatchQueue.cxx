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
    Enter(aTeam, team);
  }
  team.waiting_.emplace(aRank, aTask);
  places_.insert_or_assign(aTask, Where{ aTeam, aRank });
}

void
gpDispatchQueue::Remove(const gpTaskId& aTask)
{
  const auto found = places_.find(aTask);
  if (found == places_.end()) {
    return;
  }
  const Where where = found->second;
  places_.erase(found);
  Team& team = teams_.at(where.team_);
  team.waiting_.erase({ where.rank_, aTask });
  if (team.waiting_.empty()) {
    Leave(where.team_, team);
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
  Leave(name, team);
  virtualTime_ = team.charged_;
  team.charged_ += kUnit / team.weight_;
  Enter(name, team);
  Remove(gpTaskId(team.waiting_.begin()->second));
}

void
gpDispatchQueue::Enter(const gpTeamName& aName, const Team& aTeam)
{
  order_.emplace(aTeam.charged_, aName);
}

void
gpDispatchQueue::Leave(const gpTeamName& aName, const Team& aTeam)
{
  order_.erase({ aTeam.charged_, aName });
}
