#pragma once

#include <vector>

#include "gpMessage.h"

/// One message of each type, in the order of the gpMessage variant. No field
/// has its default value.
std::vector<gpMessage>
gpSampleMessages();

/// Messages without optional fields, with empty vectors and empty strings.
std::vector<gpMessage>
gpSparseMessages();
