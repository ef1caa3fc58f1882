#include "gpDispatchQueue.h"

#include <algorithm>

namespace {

/// One task of a team with weight 1, in units of a team's charge.
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
    // A team that was idle gets no credit for the time it didn't use.
    team.charged_ = std::max(team.charged_, virtualTime_);
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
  teams_.at(found->second.team_).waiting_.erase({ found->second.rank_, aTask });
  places_.erase(found);
}

std::optional<gpTaskId>
gpDispatchQueue::Peek() const
{
  const auto team = FindNextTeam();
  if (team == teams_.end()) {
    return std::nullopt;
  }
  return team->second.waiting_.begin()->second;
}

void
gpDispatchQueue::Pop()
{
  const auto next = FindNextTeam();
  if (next == teams_.end()) {
    return;
  }
  Team& team = teams_.at(next->first);
  virtualTime_ = team.charged_;
  team.charged_ += kUnit / team.weight_;
  Remove(gpTaskId(team.waiting_.begin()->second));
}

std::map<gpTeamName, gpDispatchQueue::Team>::const_iterator
gpDispatchQueue::FindNextTeam() const
{
  auto best = teams_.end();
  for (auto team = teams_.begin(); team != teams_.end(); ++team) {
    const bool waits = !team->second.waiting_.empty();
    if (waits && (best == teams_.end() ||
                  team->second.charged_ < best->second.charged_)) {
      best = team;
    }
  }
  return best;
}
