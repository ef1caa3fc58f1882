#include "gpJsonReader.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <boost/json/basic_parser_impl.hpp>

#include "gpAddressText.h"
#include "gpJsonNumber.h"

namespace {

/// Most errors of one text that are reported, and most bytes of the path of
/// each. A text may come from anybody, and be written to have far more.
constexpr std::size_t kMostErrors = 1000;
constexpr std::size_t kMostPathBytes = 1000;
/// Most values of a text, several times those of the largest job. A text of
/// three bytes a value takes far more memory once it's parsed.
constexpr std::size_t kMostValues = 250000;

std::string
Shorten(std::string aPath)
{
  if (aPath.size() > kMostPathBytes) {
    aPath.resize(kMostPathBytes);
    aPath += "...";
  }
  return aPath;
}

void
AddJsonError(gpJsonErrors& aErrors,
             const std::string& aPath,
             std::string aExpected)
{
  if (aErrors.size() < kMostErrors) {
    aErrors.push_back({ Shorten(aPath), std::move(aExpected) });
  }
}

namespace json = boost::json;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kHexDigits = 16;

// Finds duplicate keys. Boost.JSON's own parser silently keeps the last of two
// equal keys, so a separate pass over the text is needed.
class DuplicateKeyHandler
{
public:
  // NOLINTBEGIN(readability-identifier-naming): names that Boost.JSON requires.
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) { return Open(false); }
  bool on_object_end(std::size_t, json::error_code&) { return Close(); }
  bool on_array_begin(json::error_code&) { return Open(true); }
  bool on_array_end(std::size_t, json::error_code&) { return Close(); }
  bool on_key_part(json::string_view aPart, std::size_t, json::error_code&)
  {
    keyText_.append(aPart.data(), aPart.size());
    return true;
  }
  bool on_key(json::string_view aPart, std::size_t, json::error_code&)
  {
    keyText_.append(aPart.data(), aPart.size());
    AddKey();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, json::error_code&)
  {
    return true;
  }
  bool on_string(json::string_view, std::size_t, json::error_code&)
  {
    return NextValue();
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code&)
  {
    return NextValue();
  }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code&)
  {
    return NextValue();
  }
  bool on_double(double, json::string_view, json::error_code&)
  {
    return NextValue();
  }
  bool on_bool(bool, json::error_code&) { return NextValue(); }
  bool on_null(json::error_code&) { return NextValue(); }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

  bool HasTooManyValues() const { return valueCount_ > kMostValues; }

  gpJsonErrors errors_;

private:
  // An object or array that is being parsed.
  struct Frame
  {
    bool isArray_ = false;
    std::size_t values_ = 0;
    std::string key_;
    std::set<std::string> keys_;
  };

  bool Open(bool aIsArray)
  {
    NextValue();
    frames_.emplace_back().isArray_ = aIsArray;
    return true;
  }
  bool Close()
  {
    frames_.pop_back();
    return true;
  }
  bool NextValue()
  {
    if (!frames_.empty()) {
      ++frames_.back().values_;
    }
    ++valueCount_;
    return true;
  }
  void AddKey()
  {
    Frame& frame = frames_.back();
    frame.key_ = std::exchange(keyText_, {});
    // Making the path of each duplicate could take very long.
    if (!frame.keys_.insert(frame.key_).second &&
        errors_.size() < kMostErrors) {
      AddJsonError(errors_, Path(), "the key once; this one is a duplicate");
    }
  }
  std::string Path() const
  {
    std::string path;
    for (const Frame& frame : frames_) {
      const std::string index = std::to_string(frame.values_ - 1);
      path = gpJsonPath(path, frame.isArray_ ? index : frame.key_);
    }
    return path;
  }

  std::vector<Frame> frames_;
  std::string keyText_;
  std::size_t valueCount_ = 0;
};

std::string
SyntaxErrorText(std::string_view aText,
                std::size_t aConsumed,
                const json::error_code& aError)
{
  const std::string_view before = aText.substr(0, aConsumed);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t lineStart = before.rfind('\n') + 1;
  return "valid JSON; error at line " + std::to_string(line) + ", column " +
         std::to_string(before.size() - lineStart + 1) + ": " +
         aError.message();
}

/// What a scan of a text has found.
struct ScanResult
{
  gpJsonErrors errors_;
  /// Whether the text can be parsed, and doesn't take too much memory then.
  bool isParsable_ = false;
};

// Checks the syntax, counts the values and finds duplicate keys.
ScanResult
Scan(std::string_view aText)
{
  json::basic_parser<DuplicateKeyHandler> parser{ json::parse_options() };
  json::error_code error;
  const std::size_t consumed =
    parser.write_some(false, aText.data(), aText.size(), error);
  if (!error && consumed < aText.size()) {
    error = json::error::extra_data;
  }
  if (error) {
    return { { { "", SyntaxErrorText(aText, consumed, error) } }, false };
  }
  if (parser.handler().HasTooManyValues()) {
    const std::string most = std::to_string(kMostValues);
    return { { { "", "at most " + most + " values" } }, false };
  }
  return { std::move(parser.handler().errors_), true };
}

bool
IsName(std::string_view aText)
{
  const auto isNameCharacter = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), isNameCharacter);
}

std::string
RangeText(gpNumberRange aRange)
{
  std::string text = "an integer of at least " + std::to_string(aRange.min_);
  if (aRange.max_ == gpNumberRange{}.max_) {
    return text;
  }
  return "an integer from " + std::to_string(aRange.min_) + " to " +
         std::to_string(aRange.max_);
}

} // namespace

const gpTextRule kNameRule = {
  IsName,
  "a name of 1 to 64 characters of a-z, 0-9 and '-'",
};
const gpTextRule kAddressRule = {
  [](std::string_view aText) {
    return gpIsAddress(aText, gpPortRule::NonZero);
  },
  "an IP address and a port, such as \"10.0.0.1:8080\"",
};
const gpTextRule kListenRule = {
  [](std::string_view aText) { return gpIsAddress(aText, gpPortRule::Any); },
  "an IP address and a port, such as \"10.0.0.1:8080\"; port 0 selects any "
  "free port",
};
const gpTextRule kIncarnationRule = {
  [](std::string_view aText) { return gpParseHex16(aText).has_value(); },
  "16 hexadecimal digits in lower case, not all 0",
};
const gpTextRule kNonEmptyRule = {
  [](std::string_view aText) { return !aText.empty(); },
  "a string that isn't empty",
};
const gpTextRule kAnyTextRule = {
  [](std::string_view) { return true; },
  "a string",
};

gpJsonDocument
gpJsonDocument::Parse(std::string_view aText)
{
  ScanResult scan = Scan(aText);
  gpJsonDocument document;
  document.errors_ = std::move(scan.errors_);
  if (!scan.isParsable_) {
    return document;
  }
  json::error_code error;
  document.root_ = json::parse(json::string_view(aText), error);
  document.parsed_ = !error;
  return document;
}

gpJsonObject::gpJsonObject(const json::value& aValue,
                           std::string aPath,
                           gpJsonErrors& aErrors)
  : object_(aValue.if_object())
  , path_(std::move(aPath))
  , errors_(&aErrors)
{
  if (object_ == nullptr) {
    AddJsonError(*errors_, path_, "an object");
  }
}

std::string
gpJsonObject::PathOf(std::string_view aKey) const
{
  return gpJsonPath(path_, aKey);
}

bool
gpJsonObject::Has(std::string_view aKey) const
{
  return object_ != nullptr && object_->contains(aKey);
}

bool
gpJsonObject::HasEmptyList(std::string_view aKey) const
{
  const json::value* value =
    object_ == nullptr ? nullptr : object_->if_contains(aKey);
  return value != nullptr && value->is_array() && value->get_array().empty();
}

const json::value*
gpJsonObject::Find(std::string_view aKey)
{
  known_.push_back(aKey);
  return object_ == nullptr ? nullptr : object_->if_contains(aKey);
}

void
gpJsonObject::AddError(std::string_view aKey, std::string aExpected)
{
  AddJsonError(*errors_, PathOf(aKey), std::move(aExpected));
}

void
gpJsonObject::AddMissing(std::string_view aKey,
                         const std::string& aExpected,
                         gpPresence aPresence)
{
  if (object_ != nullptr && aPresence == gpPresence::Required) {
    AddError(aKey, aExpected + "; the field is missing");
  }
}

std::optional<std::uint64_t>
gpJsonObject::ReadNumber(std::string_view aKey,
                         gpNumberRange aRange,
                         gpPresence aPresence)
{
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    AddMissing(aKey, RangeText(aRange), aPresence);
    return std::nullopt;
  }
  const auto number = gpToUnsigned(*value);
  if (!number || *number < aRange.min_ || *number > aRange.max_) {
    AddError(aKey, RangeText(aRange));
    return std::nullopt;
  }
  return number;
}

void
gpJsonObject::Decimal(std::string_view aKey, double& aTarget, double aMax)
{
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    return;
  }
  boost::system::error_code error;
  const auto number = value->to_number<double>(error);
  if (error || !(number >= 0 && number <= aMax)) {
    std::ostringstream expected;
    expected << "a number from 0 to " << aMax;
    AddError(aKey, expected.str());
    return;
  }
  aTarget = number;
}

void
gpJsonObject::Millis(std::string_view aKey,
                     gpMillis& aTarget,
                     gpNumberRange aRange)
{
  if (const auto number = ReadNumber(aKey, aRange, gpPresence::Optional)) {
    aTarget = gpMillis(*number);
  }
}

void
gpJsonObject::Flag(std::string_view aKey, bool& aTarget)
{
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    AddError(aKey, "true or false");
    return;
  }
  aTarget = value->get_bool();
}

void
gpJsonObject::Text(std::string_view aKey,
                   std::string& aTarget,
                   const gpTextRule& aRule,
                   gpPresence aPresence)
{
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    AddMissing(aKey, aRule.expected_, aPresence);
    return;
  }
  if (!value->is_string() || !aRule.accepts_(value->get_string())) {
    AddError(aKey, aRule.expected_);
    return;
  }
  aTarget = value->get_string();
}

const json::array*
gpJsonObject::FindList(std::string_view aKey, gpPresence aPresence)
{
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    AddMissing(aKey, "a list", aPresence);
    return nullptr;
  }
  if (!value->is_array()) {
    AddError(aKey, "a list");
  }
  return value->if_array();
}

std::vector<gpJsonText>
gpJsonObject::Texts(std::string_view aKey,
                    const gpTextRule& aRule,
                    gpPresence aPresence)
{
  std::vector<gpJsonText> texts;
  const json::array* list = FindList(aKey, aPresence);
  if (list == nullptr) {
    return texts;
  }
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const json::value& value = (*list)[i];
    const std::string path = gpJsonPath(PathOf(aKey), std::to_string(i));
    if (!value.is_string() || !aRule.accepts_(value.get_string())) {
      AddJsonError(*errors_, path, aRule.expected_);
    } else if (!seen.insert(value.get_string()).second) {
      AddJsonError(*errors_, path, "each value once; this one is a duplicate");
    } else {
      texts.push_back({ path, std::string(value.get_string()) });
    }
  }
  return texts;
}

std::vector<std::uint64_t>
gpJsonObject::Numbers(std::string_view aKey, gpNumberRange aRange)
{
  std::vector<std::uint64_t> numbers;
  const json::array* list = FindList(aKey, gpPresence::Optional);
  if (list == nullptr) {
    return numbers;
  }
  for (const json::value& value : *list) {
    const auto number = gpToUnsigned(value);
    if (!number || *number < aRange.min_ || *number > aRange.max_) {
      AddError(aKey, "a list in which each element is " + RangeText(aRange));
      break;
    }
    numbers.push_back(*number);
  }
  return numbers;
}

gpJsonObject
gpJsonObject::Object(std::string_view aKey)
{
  static const json::value kNoFields = json::object();
  const json::value* value = Find(aKey);
  return { value == nullptr ? kNoFields : *value, PathOf(aKey), *errors_ };
}

void
gpJsonObject::Objects(std::string_view aKey,
                      const std::function<void(gpJsonObject&)>& aRead,
                      gpPresence aPresence,
                      std::size_t aMost)
{
  const json::array* list = FindList(aKey, aPresence);
  if (list == nullptr) {
    return;
  }
  if (list->size() > aMost) {
    AddError(aKey, "at most " + std::to_string(aMost) + " elements");
    return;
  }
  const std::string path = PathOf(aKey);
  for (std::size_t i = 0; i < list->size(); ++i) {
    gpJsonObject element(
      (*list)[i], gpJsonPath(path, std::to_string(i)), *errors_);
    aRead(element);
  }
}

void
gpJsonObject::Members(
  const gpTextRule& aNames,
  const std::function<void(const std::string&, gpJsonObject&)>& aRead)
{
  if (object_ == nullptr) {
    return;
  }
  for (const json::key_value_pair& member : *object_) {
    const std::string name(member.key());
    if (!aNames.accepts_(name)) {
      AddError(name, std::string("a key that is ") + aNames.expected_);
    }
    gpJsonObject object(member.value(), PathOf(name), *errors_);
    aRead(name, object);
  }
}

void
gpJsonObject::Finish()
{
  if (object_ == nullptr) {
    return;
  }
  for (const json::key_value_pair& member : *object_) {
    const std::string_view key = member.key();
    if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
      AddError(key, "no such field; the name is unknown here");
    }
  }
}

std::string
gpJsonPath(const std::string& aParent, std::string_view aStep)
{
  std::string path = aParent + "/";
  for (const char character : aStep) {
    if (character == '~') {
      path += "~0";
    } else if (character == '/') {
      path += "~1";
    } else {
      path += character;
    }
  }
  return path;
}

std::optional<std::uint64_t>
gpParseHex16(std::string_view aText)
{
  const auto isHexDigit = [](char aCharacter) {
    return (aCharacter >= '0' && aCharacter <= '9') ||
           (aCharacter >= 'a' && aCharacter <= 'f');
  };
  if (aText.size() != kHexDigits ||
      !std::all_of(aText.begin(), aText.end(), isHexDigit)) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value, 16);
  return value == 0 ? std::nullopt : std::optional(value);
}
