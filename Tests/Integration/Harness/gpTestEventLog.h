#pragma once

#include <cstddef>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

/// Fields by name. Values that are not strings are given as JSON text.
using gpTestFields = std::map<std::string, std::string>;

/** \class gpTestEvent
 * \brief One line of an event log.
 */
struct gpTestEvent
{
  gpTestFields fields_;

  /// The field's value; empty if there's no such field.
  std::string Get(const std::string& aName) const;
  /// Whether the event is of this kind and has these fields.
  bool Is(const std::string& aKind, const gpTestFields& aFields = {}) const;
};

/** \class gpTestEventLog
 * \brief Reads an event log (JSON lines) while a process writes it.
 */
class gpTestEventLog
{
public:
  explicit gpTestEventLog(std::filesystem::path aFile);

  /// Discards the events read so far and skips the present content of the file.
  void SkipToEnd();
  /// Reads the complete lines written since the last call.
  void Poll();
  const std::vector<gpTestEvent>& GetEvents() const { return events_; }

private:
  std::filesystem::path file_;
  std::size_t position_ = 0;
  std::vector<gpTestEvent> events_;
};
