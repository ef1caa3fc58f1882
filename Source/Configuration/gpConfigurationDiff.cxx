#include "gpConfigurationDiff.h"

#include <map>

#include "gpConfigurationReader.h"

namespace {

using Fields = std::map<std::string, std::string>;

// Maps the path of each field to its value. The lists of a configuration are
// sets, so the path of an element contains the element's value, not its index.
void
Flatten(const boost::json::value& aValue,
        const std::string& aPath,
        Fields& aFields)
{
  if (aValue.is_object()) {
    for (const auto& member : aValue.get_object()) {
      Flatten(member.value(), gpJsonPath(aPath, member.key()), aFields);
    }
  } else if (aValue.is_array()) {
    for (const boost::json::value& element : aValue.get_array()) {
      const std::string text = boost::json::serialize(element);
      std::string path = aPath;
      path.append("[").append(text).append("]");
      aFields[path] = text;
    }
  } else {
    aFields[aPath] = boost::json::serialize(aValue);
  }
}

Fields
FieldsOf(const gpConfiguration& aConfiguration)
{
  Fields fields;
  Flatten(gpConfigurationToJson(aConfiguration), "", fields);
  return fields;
}

std::optional<std::string>
ValueAt(const Fields& aFields, const std::string& aPath)
{
  const auto found = aFields.find(aPath);
  return found == aFields.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

std::vector<gpConfigurationDifference>
gpDiffConfigurations(const gpConfiguration& aBefore,
                     const gpConfiguration& aAfter)
{
  const Fields before = FieldsOf(aBefore);
  const Fields after = FieldsOf(aAfter);
  Fields paths = before;
  paths.insert(after.begin(), after.end());
  std::vector<gpConfigurationDifference> differences;
  for (const auto& [path, value] : paths) {
    const auto left = ValueAt(before, path);
    const auto right = ValueAt(after, path);
    if (left != right) {
      differences.push_back({ path, left, right });
    }
  }
  return differences;
}
