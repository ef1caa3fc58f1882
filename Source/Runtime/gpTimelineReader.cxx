#include "gpTimelineReader.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "gpError.h"
#include "gpTimelineFields.h"

namespace {

using Fields = gpTimelineFields;

constexpr std::string_view kTimestampPattern = "0000-00-00T00:00:00.000000Z";
constexpr std::size_t kIncarnationDigits = 16;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

bool
IsDigit(char aLetter)
{
  return aLetter >= '0' && aLetter <= '9';
}

bool
IsTimestamp(std::string_view aText)
{
  if (aText.size() != kTimestampPattern.size()) {
    return false;
  }
  for (std::size_t i = 0; i < kTimestampPattern.size(); ++i) {
    const bool matches = kTimestampPattern[i] == '0'
                           ? IsDigit(aText[i])
                           : aText[i] == kTimestampPattern[i];
    if (!matches) {
      return false;
    }
  }
  return true;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText, int aBase)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number, aBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<gpIncarnation>
ParseIncarnation(std::string_view aText)
{
  const auto number = ParseNumber(aText, kHexadecimal);
  if (aText.size() != kIncarnationDigits || !number) {
    return std::nullopt;
  }
  return gpIncarnation(*number);
}

std::optional<gpJobId>
ParseJobId(std::string_view aText)
{
  const std::size_t dash = aText.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto entry = ParseIncarnation(aText.substr(0, dash));
  const auto sequence = ParseNumber(aText.substr(dash + 1), kDecimal);
  if (!entry || !sequence) {
    return std::nullopt;
  }
  return gpJobId{ *entry, *sequence };
}

std::optional<gpEventKind>
ParseKind(std::string_view aText)
{
  constexpr int kLast = static_cast<int>(kGpLastEventKind);
  for (int i = 0; i <= kLast; ++i) {
    const auto kind = static_cast<gpEventKind>(i);
    if (gpEventKindName(kind) == aText) {
      return kind;
    }
  }
  return std::nullopt;
}

std::optional<gpRole>
ParseRole(std::string_view aText)
{
  for (const gpRole role : { gpRole::Entry, gpRole::Guard, gpRole::Command }) {
    if (gpRoleName(role) == aText) {
      return role;
    }
  }
  return std::nullopt;
}

/** \class FieldReader
 * \brief Reads typed fields from a JSON object, and remembers the name of the
 * first one that is missing or has a wrong value.
 */
class FieldReader
{
public:
  explicit FieldReader(const boost::json::object& aObject)
    : object_(aObject)
  {
  }

  bool Has(const char* aName) const { return object_.contains(aName); }

  std::string Text(const char* aName)
  {
    const boost::json::value* value = object_.if_contains(aName);
    if (value == nullptr || !value->is_string()) {
      MarkInvalid(aName);
      return {};
    }
    const boost::json::string& text = value->get_string();
    return { text.data(), text.size() };
  }

  std::uint64_t Number(const char* aName)
  {
    const boost::json::value* value = object_.if_contains(aName);
    boost::json::error_code error;
    const auto number =
      value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    if (value == nullptr || error) {
      MarkInvalid(aName);
    }
    return number;
  }

  std::uint32_t SmallNumber(const char* aName)
  {
    const std::uint64_t number = Number(aName);
    if (number > std::numeric_limits<std::uint32_t>::max()) {
      MarkInvalid(aName);
    }
    return static_cast<std::uint32_t>(number);
  }

  /// A text field that is converted by the given function.
  template<typename T>
  T Parsed(const char* aName, std::optional<T> (*aParse)(std::string_view))
  {
    const std::optional<T> value = aParse(Text(aName));
    if (!value) {
      MarkInvalid(aName);
    }
    return value.value_or(T{});
  }

  void MarkInvalid(const char* aName)
  {
    if (invalidField_ == nullptr) {
      invalidField_ = aName;
    }
  }

  /// The name of the first invalid field; null if there is none.
  const char* GetInvalidField() const { return invalidField_; }

private:
  const boost::json::object& object_;
  const char* invalidField_ = nullptr;
};

gpTimelineEvent
ReadEvent(FieldReader& aFields)
{
  gpTimelineEvent event;
  event.kind_ = aFields.Parsed(Fields::kEvent, ParseKind);
  if (aFields.Has(Fields::kJob)) {
    event.job_ = aFields.Parsed(Fields::kJob, ParseJobId);
  }
  if (aFields.Has(Fields::kTask)) {
    event.task_ = gpTaskIndex(aFields.SmallNumber(Fields::kTask));
  }
  if (aFields.Has(Fields::kAttempt)) {
    event.attempt_ = gpAttempt(aFields.SmallNumber(Fields::kAttempt));
  }
  if (aFields.Has(Fields::kService) || aFields.Has(Fields::kKey)) {
    event.key_ = gpServiceKey{ gpServiceName(aFields.Text(Fields::kService)),
                               gpSubmissionKey(aFields.Text(Fields::kKey)) };
  }
  if (aFields.Has(Fields::kPeer)) {
    event.peer_ = aFields.Parsed(Fields::kPeer, ParseIncarnation);
  }
  if (aFields.Has(Fields::kNumber)) {
    event.number_ = aFields.Number(Fields::kNumber);
  }
  if (aFields.Has(Fields::kDetail)) {
    event.detail_ = aFields.Text(Fields::kDetail);
  }
  return event;
}

absl::Status
WithLocation(const std::string& aFile,
             std::size_t aLine,
             const absl::Status& aError)
{
  return gpMakeError(gpErrorCodeOf(aError),
                     aFile + ":" + std::to_string(aLine) + ": " +
                       gpErrorText(aError));
}

} // namespace

absl::StatusOr<gpTimelineRecord>
gpTimelineReader::ReadLine(const std::string& aLine)
{
  boost::json::error_code error;
  // Whatever collects the lines of several processes may have put its own time
  // and the name of the process before each.
  const std::size_t first = std::min(aLine.find('{'), aLine.size());
  const boost::json::value value =
    boost::json::parse(aLine.substr(first), error);
  if (error || !value.is_object()) {
    return gpMakeError(gpErrorCode::BadRecord, "not a JSON object");
  }
  FieldReader fields(value.get_object());
  gpTimelineRecord record;
  record.event_ = ReadEvent(fields);
  record.time_ = fields.Text(Fields::kTime);
  record.clock_ = fields.Number(Fields::kClock);
  record.process_ = fields.Text(Fields::kProcess);
  record.role_ = fields.Parsed(Fields::kRole, ParseRole);
  record.incarnation_ = fields.Parsed(Fields::kIncarnation, ParseIncarnation);
  if (!IsTimestamp(record.time_)) {
    fields.MarkInvalid(Fields::kTime);
  }
  if (fields.GetInvalidField() != nullptr) {
    return gpMakeError(gpErrorCode::BadRecord,
                       std::string("field '") + fields.GetInvalidField() +
                         "' is missing or invalid");
  }
  return record;
}

absl::StatusOr<gpTimelineFile>
gpTimelineReader::ReadFile(const std::string& aFile)
{
  std::ifstream input(aFile);
  if (!input.is_open()) {
    return gpMakeError(gpErrorCode::Io, "can't open event log " + aFile);
  }
  gpTimelineFile file;
  std::string line;
  for (std::size_t number = 1; std::getline(input, line); ++number) {
    absl::StatusOr<gpTimelineRecord> record = ReadLine(line);
    if (record.ok()) {
      file.records_.push_back(*std::move(record));
    } else {
      file.errors_.push_back(WithLocation(aFile, number, record.status()));
    }
  }
  if (input.bad()) {
    return gpMakeError(gpErrorCode::Io, "read error in event log " + aFile);
  }
  return file;
}
