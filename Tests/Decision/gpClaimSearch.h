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
 * \brief What may happen besides the delivery of messages.
 */
struct gpClaimSearchOptions
{
  std::size_t guards_ = 3;
  /// Guards that may be replaced by a new incarnation at any time.
  std::size_t replacements_ = 0;
  /// Links that may break, with all that's under way on them, and open again.
  std::size_t breaks_ = 0;
  /// Entries whose claim may run into the reply timeout.
  std::size_t timeouts_ = 0;
  /// Interleavings after which the search gives up.
  std::size_t limit_ = 400000;
};

/** \class gpClaimSearch
 * \brief Tries every interleaving of two entries that claim one key.
 *
 * Steps at different processes commute; sleep sets keep the search from trying
 * both orders of those. Each interleaving runs the real reducers from the
 * start.
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
  /// Interleavings in which some entry won the claim.
  std::size_t CountWon() const { return won_; }
  bool WasExhaustive() const { return interleavings_ < options_.limit_; }

private:
  struct Step;
  class World;

  void Explore(std::vector<Step>& aPath, std::set<Step> aSleep);

  gpClaimSearchOptions options_;
  std::size_t interleavings_ = 0;
  std::size_t won_ = 0;
  std::vector<std::string> broken_;
};
