#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "gpRunMessages.h"
#include "gpTime.h"

/** \class gpEndedJobs
 * \brief The IDs of jobs that have ended in one way, so that a repeated request
 * doesn't start them again. Each is kept for kLatestRepeat after its end, as
 * long as there are at most kMostJobs.
 */
class gpEndedJobs
{
public:
  /// Limits the memory, to some 1.1 MB. Beyond it the jobs added first are
  /// forgotten.
  static constexpr std::size_t kMostJobs = 10000;

  /// Adds a job; returns false if it's known, or has ended too long ago.
  bool Add(const gpEndedJob& aJob, gpTime aNow);
  bool Contains(const std::string& aId, gpTime aNow) const;
  /// Frees the memory of jobs that are too old. Those before which a younger
  /// one was added stay until that one is too old as well.
  void DropOld(gpTime aNow);
  /// All jobs, for an entry whose link has just opened.
  std::vector<gpEndedJob> List(gpTime aNow) const;
  std::size_t Count() const { return endedAt_.size(); }

private:
  void DropFirst();

  std::unordered_map<std::string, gpTime> endedAt_;
  /// The keys of endedAt_ in the order in which they were added.
  std::deque<const std::string*> order_;
};
