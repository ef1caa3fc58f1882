#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "gpIds.h"
#include "gpTime.h"

/** \class gpDispatchQueue
 * \brief The waiting tasks of one service, in the order in which they are sent.
 *
 * Weighted fair queuing between teams: the team with the fewest sent tasks in
 * relation to its weight is next. Within a team tasks are ordered by the rank
 * of their job, by which short jobs go before long ones unless a long one has
 * waited long enough.
 */
class gpDispatchQueue
{
public:
  /// Adds a task. aRank orders the tasks of one team, smallest first.
  void Push(const gpTeamName& aTeam,
            std::uint32_t aWeight,
            gpTime aRank,
            const gpTaskId& aTask);
  void Remove(const gpTaskId& aTask);
  /// The next task; not set if none waits.
  std::optional<gpTaskId> Peek() const;
  /// Removes the next task and charges its team for it.
  void Pop();
  std::size_t GetSize() const { return positions_.size(); }

private:
  using RankedTask = std::pair<gpTime, gpTaskId>;
  struct Team
  {
    std::uint32_t weight_ = 1;
    /// Tasks sent so far, divided by the weight, in units of 1 / kUnit.
    std::uint64_t charged_ = 0;
    std::set<RankedTask> waiting_;
  };
  /// The team of a waiting task and its rank in the team.
  struct Position
  {
    gpTeamName team_;
    gpTime rank_;
  };

  /// Adds a team with waiting tasks to order_.
  void AddToOrder(const gpTeamName& aName, const Team& aTeam);
  void RemoveFromOrder(const gpTeamName& aName, const Team& aTeam);

  std::map<gpTeamName, Team> teams_;
  /// The teams with waiting tasks, by their charge; the first one is next.
  std::set<std::pair<std::uint64_t, gpTeamName>> order_;
  std::map<gpTaskId, Position> positions_;
  /// The charge of the team whose task was sent last, before this task.
  std::uint64_t virtualTime_ = 0;
};
