#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gpEntryReducer.h"
#include "gpGuardReducer.h"

/** \class gpClaimSearchOptions
 * \brief The size of the search, and the faults that may occur in it besides
 * any order of messages.
 */
struct gpClaimSearchOptions
{
  std::size_t guards_ = 3;
  /// Number of times that a guard may be replaced by a new incarnation.
  std::size_t replacements_ = 0;
  /// Number of times that a link may be lost, with its undelivered messages,
  /// and reopened.
  std::size_t breaks_ = 0;
  /// Number of entries whose claim may reach the reply timeout.
  std::size_t timeouts_ = 0;
  /// The search stops after this number of interleavings.
  std::size_t limit_ = 400000;
};

/** \class gpClaimSearch
 * \brief Searches all interleavings of two entries that claim the same key for
 * one in which both win.
 *
 * Steps at different processes commute, so only one order of them needs to be
 * tried; the search uses sleep sets to skip the others. Each interleaving runs
 * the reducers of entries and guards from the initial state.
 */
class gpClaimSearch
{
public:
  explicit gpClaimSearch(gpClaimSearchOptions aOptions);
  ~gpClaimSearch();

  /// Runs the search. Returns the steps of an interleaving after which two
  /// entries have the claim; empty if there is none.
  std::vector<std::string> Run();
  std::size_t CountInterleavings() const { return interleavings_; }
  /// Number of interleavings in which an entry won the claim.
  std::size_t CountWon() const { return won_; }
  bool WasExhaustive() const { return interleavings_ < options_.limit_; }

private:
  struct Step;
  class World;

  void Explore(std::vector<Step>& aPath, std::set<Step> aSleep);

  gpClaimSearchOptions options_;
  std::size_t interleavings_ = 0;
  std::size_t won_ = 0;
  std::vector<std::string> violatingSteps_;
};
