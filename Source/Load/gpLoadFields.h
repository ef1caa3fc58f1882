#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include <absl/status/status.h>
#include <boost/json/fwd.hpp>

#include "gpTime.h"

/** \class gpLoadFields
 * \brief Reads the fields of one JSON object into an aggregate.
 *
 * A missing field leaves the variable unchanged. All readers of a document
 * share one status, which keeps the first error with the path of its field
 * (BadSettings).
 */
class gpLoadFields
{
public:
  /// A value that is not an object is an error.
  gpLoadFields(const boost::json::value& aValue,
               std::string aPath,
               absl::Status& aStatus);

  bool Has(const std::string& aName) const;
  void Read(const std::string& aName, std::string& aVariable);
  void Read(const std::string& aName, bool& aVariable);
  void Read(const std::string& aName,
            double& aVariable,
            double aMin,
            double aMax);
  template<typename Integer>
  void ReadCount(const std::string& aName,
                 Integer& aVariable,
                 std::uint64_t aMin,
                 std::uint64_t aMax)
  {
    std::uint64_t value = static_cast<std::uint64_t>(aVariable);
    ReadInteger(aName, value, aMin, aMax);
    aVariable = static_cast<Integer>(value);
  }
  /// Reads a whole number in the unit of the duration type.
  template<typename Duration>
  void ReadTime(const std::string& aName,
                Duration& aVariable,
                std::uint64_t aMin,
                std::uint64_t aMax)
  {
    auto count = aVariable.count();
    ReadCount(aName, count, aMin, aMax);
    aVariable = Duration{ count };
  }
  /// Calls the reader for the object in this field.
  void ReadObject(const std::string& aName,
                  const std::function<void(gpLoadFields&)>& aReader);
  /// Calls the reader for each object of the list in this field.
  void ReadList(const std::string& aName,
                const std::function<void(gpLoadFields&)>& aReader);
  /// Calls the reader with name and count of each member of the object in this
  /// field.
  void ReadCounts(
    const std::string& aName,
    const std::function<void(const std::string&, std::uint64_t)>& aReader);
  /// Fails if the object has a field that was not read; call it last.
  void RejectUnknownFields();
  /// Sets the status to an error at this field, unless it has one already.
  void Fail(const std::string& aName, const std::string& aProblem);

private:
  const boost::json::value* Find(const std::string& aName);
  void ReadInteger(const std::string& aName,
                   std::uint64_t& aVariable,
                   std::uint64_t aMin,
                   std::uint64_t aMax);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  absl::Status& status_;
  std::set<std::string> known_;
};
