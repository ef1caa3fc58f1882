#include "gpMessageName.h"

#include <array>

namespace {

constexpr std::array<std::string_view, std::variant_size_v<gpMessage>>
  kNames = {
    "claim_request", "claim_reply",        "claim_withdraw",
    "claim_outcome", "claim_query",        "copy_request",
    "copy_reply",    "attach_request",     "attach_reply",
    "start",         "start_refused",      "start_result",
    "resolve",       "resolve_reply",      "cancel",
    "slot_report",   "configuration_news", "roster_news",
    "announce",      "news_request",       "run_order",
    "run_cancel",    "run_report",         "runs_held",
    "target_news",   "room_report",        "entry_addresses",
  };

} // namespace

std::string_view
gpMessageName(const gpMessage& aMessage)
{
  return kNames.at(aMessage.index());
}
