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
 * \brief The waiting tasks of one service, in the order in which they start.
 *
 * Teams share by weight: the one that has had the least service, divided by
 * its weight, goes next. Within a team short jobs go before long ones, but a
 * long job that has waited long enough goes before a short one.
 */
class gpDispatchQueue
{
public:
  /// Adds a task. aRank orders the jobs of one team, smallest first.
  void Push(const gpTeamName& aTeam,
            std::uint32_t aWeight,
            gpTime aRank,
            const gpTaskId& aTask);
  void Remove(const gpTaskId& aTask);
  /// The task that's next; not set if none waits.
  std::optional<gpTaskId> Peek() const;
  /// Removes the task that's next and charges its team for it.
  void Pop();
  std::size_t GetSize() const { return places_.size(); }

private:
  using Place = std::pair<gpTime, gpTaskId>;
  struct Team
  {
    std::uint32_t weight_ = 1;
    /// Tasks started so far, divided by the weight, in units of 1 / kUnit.
    std::uint64_t charged_ = 0;
    std::set<Place> waiting_;
  };
  struct Where
  {
    gpTeamName team_;
    gpTime rank_;
  };

  /// Puts a team that waits into the order by its charge.
  void Enter(const gpTeamName& aName, const Team& aTeam);
  void Leave(const gpTeamName& aName, const Team& aTeam);

  std::map<gpTeamName, Team> teams_;
  /// The teams that wait, by their charge; the first one is next.
  std::set<std::pair<std::uint64_t, gpTeamName>> order_;
  std::map<gpTaskId, Where> places_;
  /// The charge of the team that was served last.
  std::uint64_t virtualTime_ = 0;
};
