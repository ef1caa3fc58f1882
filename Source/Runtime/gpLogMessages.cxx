#include "gpLogMessages.h"

#include <cstdint>
#include <optional>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "gpError.h"

namespace {

absl::Status
BadResponse(const std::string& aDetail)
{
  return gpMakeError(gpErrorCode::BadRecord,
                     "invalid response of the log service: " + aDetail);
}

absl::StatusOr<boost::json::object>
ParseObject(const std::string& aBody)
{
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(aBody, error);
  if (error || !value.is_object()) {
    return BadResponse("not a JSON object");
  }
  return std::move(value.get_object());
}

std::optional<gpLogOffset>
ReadOffset(const boost::json::object& aObject, const char* aName)
{
  const boost::json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  boost::json::error_code error;
  const auto offset = value->to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return gpLogOffset(offset);
}

std::optional<gpLogRecord>
ReadRecord(const boost::json::value& aValue)
{
  const boost::json::object* object = aValue.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto offset = ReadOffset(*object, "offset");
  const boost::json::value* data = object->if_contains("data");
  if (!offset || data == nullptr || !data->is_string()) {
    return std::nullopt;
  }
  const boost::json::string& text = data->get_string();
  return gpLogRecord{ *offset, { text.data(), text.size() } };
}

bool
HasValidOffsets(const gpLogBatch& aBatch)
{
  gpLogOffset lowest = aBatch.earliest_;
  for (const gpLogRecord& record : aBatch.records_) {
    if (record.offset_ < lowest || record.offset_ >= aBatch.next_) {
      return false;
    }
    lowest.value_ = record.offset_.value_ + 1;
  }
  return aBatch.earliest_ <= aBatch.next_;
}

} // namespace

absl::StatusOr<gpLogOffset>
gpParseAppendAnswer(const std::string& aBody)
{
  const auto object = ParseObject(aBody);
  if (!object.ok()) {
    return object.status();
  }
  const auto offset = ReadOffset(*object, "offset");
  if (!offset) {
    return BadResponse("'offset' is missing or invalid");
  }
  return *offset;
}

absl::StatusOr<gpLogBatch>
gpParseReadAnswer(const std::string& aBody)
{
  const auto object = ParseObject(aBody);
  if (!object.ok()) {
    return object.status();
  }
  const auto earliest = ReadOffset(*object, "earliest");
  const auto next = ReadOffset(*object, "next");
  const boost::json::value* records = object->if_contains("records");
  if (!earliest || !next || records == nullptr || !records->is_array()) {
    return BadResponse("'earliest', 'next' or 'records' is missing or invalid");
  }
  gpLogBatch batch{ *earliest, *next, {} };
  for (const boost::json::value& value : records->get_array()) {
    std::optional<gpLogRecord> record = ReadRecord(value);
    if (!record) {
      return BadResponse("record without a valid 'offset' and 'data'");
    }
    batch.records_.push_back(*std::move(record));
  }
  if (!HasValidOffsets(batch)) {
    return BadResponse("offsets not ascending or out of range");
  }
  return batch;
}
