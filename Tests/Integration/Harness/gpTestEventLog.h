#pragma once

#include <cstddef>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

/// Fields by name; numbers as text.
using gpTestFields = std::map<std::string, std::string>;

/** \class gpTestEvent
 * \brief One line of an event log.
 */
struct gpTestEvent
{
  gpTestFields fields_;

  /// The field's text; empty if it's not there.
  std::string Get(const std::string& aName) const;
  /// Whether the event is of this kind and has these fields.
  bool Is(const std::string& aKind, const gpTestFields& aFields = {}) const;
};

/** \class gpTestEventLog
 * \brief Reads a file of JSON lines as it grows.
 */
class gpTestEventLog
{
public:
  explicit gpTestEventLog(std::filesystem::path aFile);

  /// Forgets the events so far, and skips what the file holds already.
  void SkipToEnd();
  /// Reads the whole lines that are new.
  void Poll();
  const std::vector<gpTestEvent>& GetEvents() const { return events_; }

private:
  std::filesystem::path file_;
  std::size_t position_ = 0;
  std::vector<gpTestEvent> events_;
};
