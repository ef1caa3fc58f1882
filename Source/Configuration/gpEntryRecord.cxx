#include "gpEntryRecord.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "gpError.h"
#include "gpJsonReader.h"

namespace json = boost::json;

namespace {

constexpr gpNumberRange kMilliCores = { 0, 1000000000 };
constexpr std::size_t kMaxNameBytes = 1024;
/// The name is passed on to all entries and guards.
const gpTextRule kDataCentreRule = {
  [](std::string_view aText) {
    return !aText.empty() && aText.size() <= kMaxNameBytes;
  },
  "a string of 1 to 1024 bytes",
};

} // namespace

std::string
gpRenderEntryRecord(const gpKnownEntry& aEntry)
{
  return json::serialize(
    json::object{ { "address", aEntry.address_.value_ },
                  { "data_centre", aEntry.dataCentre_.value_ },
                  { "milli_cores", aEntry.milliCores_ } });
}

absl::StatusOr<gpKnownEntry>
gpParseEntryRecord(std::string_view aText)
{
  constexpr auto kRequired = gpPresence::Required;
  gpJsonDocument document = gpJsonDocument::Parse(aText);
  gpJsonErrors errors = std::move(document.errors_);
  gpKnownEntry entry;
  if (document.parsed_) {
    gpJsonObject root(document.root_, "", errors);
    root.Text("address", entry.address_, kAddressRule, kRequired);
    root.Text("data_centre", entry.dataCentre_, kDataCentreRule, kRequired);
    root.Number("milli_cores", entry.milliCores_, kMilliCores);
  }
  if (!errors.empty()) {
    return gpMakeErrors(gpErrorCode::BadRecord, errors);
  }
  return entry;
}
