#include "gpAnnouncement.h"

#include "gpJsonReader.h"

namespace {

constexpr gpNumberRange kSlots = { 1, 100000 };

} // namespace

absl::StatusOr<gpAnnouncement>
gpParseAnnouncement(std::string_view aBody)
{
  gpJsonDocument document = gpJsonDocument::Parse(aBody);
  gpAnnouncement announcement;
  if (document.parsed_) {
    constexpr auto kRequired = gpPresence::Required;
    gpJsonObject root(document.root_, "", document.errors_);
    root.Text("service", announcement.service_, kNameRule, kRequired);
    root.Text("address", announcement.address_, kAddressRule, kRequired);
    root.Number("slots", announcement.slots_, kSlots, kRequired);
    root.Finish();
  }
  if (!document.errors_.empty()) {
    return gpMakeErrors(gpErrorCode::BadRequest, document.errors_);
  }
  return announcement;
}
