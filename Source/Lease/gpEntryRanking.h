#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gpRunMessages.h"

/** \brief The known entries in the order in which a process links with them.
 *
 * Pattern: weighted rendezvous hashing. Each process has an order of its own,
 * so that all entries get their part of the links, and the coming or going of
 * one entry moves few links. An entry with more processor gets more of them.
 *
 * At most half of the first aCount are in one data centre, if there are others.
 */
std::vector<gpAddress>
gpRankEntries(const std::string& aSelf,
              const std::map<gpAddress, gpKnownEntry>& aEntries,
              std::size_t aCount);
