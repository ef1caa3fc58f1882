#pragma once

#include <string_view>

#include "gpMessage.h"

/// The name of a message's kind in metrics, such as "claim_request".
std::string_view
gpMessageName(const gpMessage& aMessage);
