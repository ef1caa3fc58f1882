#include "gpDeadlyTasks.h"

#include <numeric>

namespace {

constexpr std::uint32_t kCrashes = 3;
constexpr std::uint32_t kForbiddenStart = 3;

} // namespace

bool
gpDeadlyTasks::NoteStart(const std::string& aTask)
{
  Task& task = tasks_.at(aTask);
  if (task.crashes_ >= kCrashes) {
    ++task.startsAfterThird_;
  }
  return task.startsAfterThird_ < kForbiddenStart;
}

std::size_t
gpDeadlyTasks::CountCrashes() const
{
  return std::accumulate(tasks_.begin(),
                         tasks_.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aTask) {
                           return aSum + aTask.second.crashes_;
                         });
}
