#pragma once

#include <vector>

#include "gpMessage.h"

/// Every message type in the variant's order, no field at its default.
std::vector<gpMessage>
gpSampleMessages();

/// Messages with optional fields unset, empty vectors and empty strings.
std::vector<gpMessage>
gpSparseMessages();
