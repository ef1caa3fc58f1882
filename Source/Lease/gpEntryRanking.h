#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gpRunMessages.h"

/** \brief Ranks the known entries in the order in which the process aSelf links
 * with them.
 *
 * Pattern: weighted rendezvous hashing. Each process has its own pseudo-random
 * order, so that links are spread over all entries, and adding or removing an
 * entry moves few links. An entry with more processor is ranked high by more
 * processes.
 *
 * If there are enough entries in other data centres, at most half of the first
 * aCount are in one data centre, so that the loss of a data centre leaves each
 * process half of its links.
 */
std::vector<gpAddress>
gpRankEntries(const std::string& aSelf,
              const std::map<gpAddress, gpKnownEntry>& aEntries,
              std::size_t aCount);
