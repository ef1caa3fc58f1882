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

/** \brief Reads typed fields out of JSON and collects all faults.
 *
 * Private to this folder: it includes Boost.JSON, so only .cxx files of the
 * folder may include it.
 */

using gpJsonErrors = std::vector<gpConfigurationError>;

/** \class gpJsonDocument
 * \brief A parsed JSON text.
 */
struct gpJsonDocument
{
  /// Null if the text is no JSON.
  boost::json::value root_;
  /// Syntax error, or every key that stands twice in one object.
  gpJsonErrors errors_;
  bool parsed_ = false;

  static gpJsonDocument Parse(std::string_view aText);
};

/// Whether a field may be left out.
enum class gpPresence
{
  Optional,
  Required,
};

/** \class gpNumberRange
 * \brief The least and the greatest value of an integer field.
 */
struct gpNumberRange
{
  std::uint64_t min_ = 0;
  std::uint64_t max_ = std::numeric_limits<std::uint64_t>::max();
};

/** \class gpTextRule
 * \brief Which strings a field accepts, and how to say so.
 */
struct gpTextRule
{
  bool (*accepts_)(std::string_view aText);
  const char* expected_;
};

/// 1 to 64 of a-z, 0-9 and '-'.
extern const gpTextRule kNameRule;
/// IP number and port.
extern const gpTextRule kAddressRule;
/// IP number and port, which may be 0.
extern const gpTextRule kListenRule;
/// 16 hexadecimal digits, not all 0.
extern const gpTextRule kIncarnationRule;
extern const gpTextRule kNonEmptyRule;
extern const gpTextRule kAnyTextRule;

/** \class gpJsonText
 * \brief One accepted string of a list, with its place.
 */
struct gpJsonText
{
  std::string path_;
  std::string text_;
};

/** \class gpChoice
 * \brief One name of an enumeration.
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
 * A field that is missing or faulty leaves its target as it was; each fault
 * adds an error. Call Finish when all known fields have been read.
 */
class gpJsonObject
{
public:
  /// Reads a value that should be an object.
  gpJsonObject(const boost::json::value& aValue,
               std::string aPath,
               gpJsonErrors& aErrors);

  /// The place of a field.
  std::string PathOf(std::string_view aKey) const;
  bool Has(std::string_view aKey) const;
  bool HasEmptyList(std::string_view aKey) const;
  /// Marks a field as known; nullptr if it's missing.
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
  /// A number from 0 to aMost that may have decimals.
  void Decimal(std::string_view aKey, double& aTarget, double aMost);
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

  /// The strings of a list that follow the rule and stand there once.
  std::vector<gpJsonText> Texts(std::string_view aKey,
                                const gpTextRule& aRule,
                                gpPresence aPresence = gpPresence::Optional);
  /// The integers of a list that are in the range.
  std::vector<std::uint64_t> Numbers(std::string_view aKey,
                                     gpNumberRange aRange);
  /// The object in a field; one without fields if it's missing.
  gpJsonObject Object(std::string_view aKey);
  /// Calls the function for each element of a list of objects.
  void Objects(std::string_view aKey,
               const std::function<void(gpJsonObject&)>& aRead,
               gpPresence aPresence = gpPresence::Optional);
  /// For an object with free field names: calls the function for each field
  /// with the object in it. Finish isn't needed then.
  void Members(
    const gpTextRule& aNames,
    const std::function<void(const std::string&, gpJsonObject&)>& aRead);

  /// Adds an error for each field that wasn't asked for.
  void Finish();

private:
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
  absl::InlinedVector<std::string_view, kUsualFields> known_;
};

/// Appends a step to a JSON pointer, with its escapes.
std::string
gpJsonPath(const std::string& aParent, std::string_view aStep);

/// The value of 16 hexadecimal digits; nullopt for any other text and for 0.
std::optional<std::uint64_t>
gpParseHex16(std::string_view aText);
