#include "gpLoadFields.h"

#include <utility>

#include <boost/json.hpp>

#include "gpError.h"

gpLoadFields::gpLoadFields(const boost::json::value& aValue,
                           std::string aPath,
                           absl::Status& aStatus)
  : object_(aValue.if_object())
  , path_(std::move(aPath))
  , status_(aStatus)
{
  if (object_ == nullptr) {
    Fail("", "is not an object");
  }
}

bool
gpLoadFields::Has(const std::string& aName) const
{
  return object_ != nullptr && object_->contains(aName);
}

void
gpLoadFields::Read(const std::string& aName, std::string& aVariable)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    Fail(aName, "is not a string");
    return;
  }
  aVariable = value->get_string().c_str();
}

void
gpLoadFields::Read(const std::string& aName, bool& aVariable)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    Fail(aName, "is not true or false");
    return;
  }
  aVariable = value->get_bool();
}

void
gpLoadFields::Read(const std::string& aName,
                   double& aVariable,
                   double aMin,
                   double aMax)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  boost::json::error_code error;
  const double number = value->to_number<double>(error);
  if (error || !(number >= aMin && number <= aMax)) {
    Fail(aName,
         "is not a number from " + std::to_string(aMin) + " to " +
           std::to_string(aMax));
    return;
  }
  aVariable = number;
}

void
gpLoadFields::ReadInteger(const std::string& aName,
                          std::uint64_t& aVariable,
                          std::uint64_t aMin,
                          std::uint64_t aMax)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  boost::json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error || number < aMin || number > aMax) {
    Fail(aName,
         "is not a whole number from " + std::to_string(aMin) + " to " +
           std::to_string(aMax));
    return;
  }
  aVariable = number;
}

void
gpLoadFields::ReadObject(const std::string& aName,
                         const std::function<void(gpLoadFields&)>& aReader)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  gpLoadFields fields(*value, path_ + aName + ".", status_);
  aReader(fields);
}

void
gpLoadFields::ReadList(const std::string& aName,
                       const std::function<void(gpLoadFields&)>& aReader)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    Fail(aName, "is not a list");
    return;
  }
  std::size_t index = 0;
  for (const boost::json::value& element : value->get_array()) {
    const std::string path =
      path_ + aName + "[" + std::to_string(index++) + "].";
    gpLoadFields fields(element, path, status_);
    aReader(fields);
  }
}

void
gpLoadFields::ReadCounts(
  const std::string& aName,
  const std::function<void(const std::string&, std::uint64_t)>& aReader)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    Fail(aName, "is not an object");
    return;
  }
  for (const auto& member : value->get_object()) {
    boost::json::error_code error;
    const auto count = member.value().to_number<std::uint64_t>(error);
    if (error) {
      Fail(aName, "has a member that is not a count");
      return;
    }
    aReader(std::string(member.key()), count);
  }
}

void
gpLoadFields::RejectUnknownFields()
{
  if (object_ == nullptr) {
    return;
  }
  for (const auto& member : *object_) {
    const std::string name(member.key());
    if (known_.count(name) == 0) {
      Fail(name, "is not a known field");
    }
  }
}

void
gpLoadFields::Fail(const std::string& aName, const std::string& aProblem)
{
  if (status_.ok()) {
    status_ =
      gpMakeError(gpErrorCode::BadSettings, path_ + aName + ": " + aProblem);
  }
}

const boost::json::value*
gpLoadFields::Find(const std::string& aName)
{
  known_.insert(aName);
  return object_ == nullptr ? nullptr : object_->if_contains(aName);
}
