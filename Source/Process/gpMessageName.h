#pragma once

#include <string_view>

#include "gpMessage.h"

/// The name of a message's type in metrics, such as "claim_request".
std::string_view
gpMessageName(const gpMessage& aMessage);
