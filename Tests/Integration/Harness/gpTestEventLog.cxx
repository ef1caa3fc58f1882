#include "gpTestEventLog.h"

#include <algorithm>
#include <fstream>
#include <system_error>
#include <utility>

#include <boost/json.hpp>

namespace {

gpTestEvent
ParseEvent(const std::string& aLine)
{
  gpTestEvent event;
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(aLine, error);
  if (error || !value.is_object()) {
    return event;
  }
  for (const auto& field : value.get_object()) {
    const bool isText = field.value().is_string();
    event.fields_[std::string(field.key())] =
      isText ? std::string(field.value().get_string())
             : boost::json::serialize(field.value());
  }
  return event;
}

} // namespace

std::string
gpTestEvent::Get(const std::string& aName) const
{
  const auto field = fields_.find(aName);
  return field == fields_.end() ? "" : field->second;
}

bool
gpTestEvent::Is(const std::string& aKind, const gpTestFields& aFields) const
{
  return Get("event") == aKind &&
         std::all_of(
           aFields.begin(), aFields.end(), [this](const auto& aField) {
             return Get(aField.first) == aField.second;
           });
}

gpTestEventLog::gpTestEventLog(std::filesystem::path aFile)
  : file_(std::move(aFile))
{
}

void
gpTestEventLog::SkipToEnd()
{
  events_.clear();
  std::error_code error;
  const auto size = std::filesystem::file_size(file_, error);
  position_ = error ? 0 : size;
}

void
gpTestEventLog::Poll()
{
  std::ifstream file(file_);
  file.seekg(static_cast<std::streamoff>(position_));
  std::string line;
  // A last line without a line break is still being written.
  while (std::getline(file, line) && !file.eof()) {
    position_ += line.size() + 1;
    events_.push_back(ParseEvent(line));
  }
}
