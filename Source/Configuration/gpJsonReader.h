#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/inlined_vector.h>
#include <boost/json.hpp>

#include "gpConfigurationError.h"
#include "gpStrongType.h"
#include "gpTime.h"

/** \brief Reads typed fields from JSON and collects all validation errors.
 *
 * Used only in Source/Configuration. The header includes Boost.JSON, so only
 * .cxx files and internal headers of this folder may include it.
 */

using gpJsonErrors = std::vector<gpConfigurationError>;

/** \class gpJsonDocument
 * \brief A parsed JSON text.
 */
struct gpJsonDocument
{
  /// Null if the text isn't valid JSON.
  boost::json::value root_;
  /// The syntax error, or an error for each duplicate key of an object.
  gpJsonErrors errors_;
  /// Whether the text is syntactically valid; it may still have duplicate keys.
  bool parsed_ = false;

  static gpJsonDocument Parse(std::string_view aText);
};

/// Whether a field may be missing.
enum class gpPresence
{
  Optional,
  Required,
};

/** \class gpNumberRange
 * \brief The minimum and maximum value of an integer field.
 */
struct gpNumberRange
{
  std::uint64_t min_ = 0;
  std::uint64_t max_ = std::numeric_limits<std::uint64_t>::max();
};

/** \class gpTextRule
 * \brief Which strings a field accepts, and how an error describes them.
 */
struct gpTextRule
{
  bool (*accepts_)(std::string_view aText);
  const char* expected_;
};

/// 1 to 64 characters of a-z, 0-9 and '-'.
extern const gpTextRule kNameRule;
/// IP address and port.
extern const gpTextRule kAddressRule;
/// IP address and port, which may be 0.
extern const gpTextRule kListenRule;
/// 16 hexadecimal digits, not all 0.
extern const gpTextRule kIncarnationRule;
extern const gpTextRule kNonEmptyRule;
extern const gpTextRule kAnyTextRule;

/** \class gpJsonText
 * \brief One accepted string of a list, with its JSON pointer.
 */
struct gpJsonText
{
  std::string path_;
  std::string text_;
};

/** \class gpChoice
 * \brief The name in JSON of one value of an enumeration.
 */
template<typename Enum>
struct gpChoice
{
  std::string_view name_;
  Enum value_;
};

/** \class gpJsonObject
 * \brief Reads the fields of one JSON object.
 *
 * If a field is missing or invalid, its target parameter stays unchanged. An
 * invalid field adds an error, and so does a missing one that is required. Call
 * Finish when all known fields have been read.
 */
class gpJsonObject
{
public:
  /// Adds an error if the value isn't an object; all fields are then missing,
  /// without further errors.
  gpJsonObject(const boost::json::value& aValue,
               std::string aPath,
               gpJsonErrors& aErrors);

  /// The JSON pointer to a field.
  std::string PathOf(std::string_view aKey) const;
  bool Has(std::string_view aKey) const;
  bool HasEmptyList(std::string_view aKey) const;
  /// Marks a field as known (see Finish) and returns its value; nullptr if it
  /// is missing.
  const boost::json::value* Find(std::string_view aKey);
  void AddError(std::string_view aKey, std::string aExpected);

  template<std::unsigned_integral T>
  void Number(std::string_view aKey,
              T& aTarget,
              gpNumberRange aRange,
              gpPresence aPresence = gpPresence::Optional)
  {
    if (const auto number = ReadNumber(aKey, aRange, aPresence)) {
      aTarget = static_cast<T>(*number);
    }
  }
  template<typename Tag, std::unsigned_integral T>
  void Number(std::string_view aKey,
              gpStrongType<Tag, T>& aTarget,
              gpPresence aPresence = gpPresence::Optional)
  {
    Number(aKey, aTarget.value_, {}, aPresence);
  }
  /// A number from 0 to aMax that may have a fraction.
  void Decimal(std::string_view aKey, double& aTarget, double aMax);
  void Millis(std::string_view aKey, gpMillis& aTarget, gpNumberRange aRange);
  void Flag(std::string_view aKey, bool& aTarget);

  void Text(std::string_view aKey,
            std::string& aTarget,
            const gpTextRule& aRule,
            gpPresence aPresence = gpPresence::Optional);
  template<typename Tag>
  void Text(std::string_view aKey,
            gpStrongType<Tag, std::string>& aTarget,
            const gpTextRule& aRule,
            gpPresence aPresence = gpPresence::Optional)
  {
    Text(aKey, aTarget.value_, aRule, aPresence);
  }
  template<typename Enum, std::size_t N>
  void Choice(std::string_view aKey,
              Enum& aTarget,
              const std::array<gpChoice<Enum>, N>& aChoices)
  {
    const boost::json::value* value = Find(aKey);
    if (value == nullptr) {
      return;
    }
    std::string names;
    for (const gpChoice<Enum>& choice : aChoices) {
      if (value->is_string() && value->get_string() == choice.name_) {
        aTarget = choice.value_;
        return;
      }
      names += (names.empty() ? "one of " : ", ") + std::string(choice.name_);
    }
    AddError(aKey, names);
  }

  /// The strings of a list that follow the rule. Duplicates are errors, and are
  /// returned only once.
  std::vector<gpJsonText> Texts(std::string_view aKey,
                                const gpTextRule& aRule,
                                gpPresence aPresence = gpPresence::Optional);
  /// The integers of a list, up to the first element that is invalid or out of
  /// range.
  std::vector<std::uint64_t> Numbers(std::string_view aKey,
                                     gpNumberRange aRange);
  /// The object in a field; an empty object if the field is missing.
  gpJsonObject Object(std::string_view aKey);
  /// Calls the function for each element of a list of objects; for none if the
  /// list has more than aMost.
  void Objects(std::string_view aKey,
               const std::function<void(gpJsonObject&)>& aRead,
               gpPresence aPresence = gpPresence::Optional,
               std::size_t aMost = std::numeric_limits<std::size_t>::max());
  /// For an object that is a map from names to objects: calls the function for
  /// each field, with its name and its object. Finish isn't needed then.
  void Members(
    const gpTextRule& aNames,
    const std::function<void(const std::string&, gpJsonObject&)>& aRead);

  /// Adds an error for each unknown field, that is one that was not read.
  void Finish();

private:
  /// Inline capacity of known_; most objects have at most this many fields.
  static constexpr std::size_t kUsualFields = 8;

  std::optional<std::uint64_t> ReadNumber(std::string_view aKey,
                                          gpNumberRange aRange,
                                          gpPresence aPresence);
  void AddMissing(std::string_view aKey,
                  const std::string& aExpected,
                  gpPresence aPresence);
  const boost::json::array* FindList(std::string_view aKey,
                                     gpPresence aPresence);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  gpJsonErrors* errors_;
  /// The fields that were read, for Finish.
  absl::InlinedVector<std::string_view, kUsualFields> known_;
};

/// Appends a key or an index to a JSON pointer, with '~' and '/' escaped.
std::string
gpJsonPath(const std::string& aParent, std::string_view aStep);

/// The value of 16 hexadecimal digits; nullopt for any other text and for 0.
std::optional<std::uint64_t>
gpParseHex16(std::string_view aText);
