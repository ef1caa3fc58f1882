#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "gpTime.h"

/** \class gpDeadlyTasks
 * \brief The tasks of a history that crash each target that starts them, and
 * how often each has done so.
 */
class gpDeadlyTasks
{
public:
  /// How long a crashed target is away.
  static constexpr gpMillis kDowntime{ 3300 };

  /// The first task of the job is deadly.
  void AddJob(const std::string& aJob) { tasks_[aJob + ".0.0.0"] = {}; }
  bool Contains(const std::string& aTask) const
  {
    return tasks_.contains(aTask);
  }
  bool ContainsJob(const std::string& aJob) const
  {
    return Contains(aJob + ".0.0.0");
  }

  /// Counts a start. Returns false if it's the third one after the task has
  /// crashed three targets, which the platform doesn't allow.
  bool NoteStart(const std::string& aTask);
  void NoteCrash(const std::string& aTask) { ++tasks_.at(aTask).crashes_; }
  std::size_t CountCrashes() const;

private:
  struct Task
  {
    std::uint32_t crashes_ = 0;
    std::uint32_t startsAfterThird_ = 0;
  };

  std::map<std::string, Task> tasks_;
};
