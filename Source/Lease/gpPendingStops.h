#pragma once

#include <map>
#include <vector>

#include "gpRunMessages.h"
#include "gpTime.h"

/** \class gpPendingStops
 * \brief Stop calls that the target has not confirmed yet, when the failed ones
 * are due to be repeated, and which are overdue.
 */
class gpPendingStops
{
public:
  /// If the stop was sent before, it stays overdue from then on if that is
  /// earlier than aOverdueAt.
  void NoteSent(const gpRunId& aRun, gpTime aNow, gpTime aOverdueAt);
  /// Makes a pending stop overdue from aOverdueAt on, or from earlier on.
  void Hurry(const gpRunId& aRun, gpTime aOverdueAt);
  /// The stop call failed or was not answered, so it's to be repeated.
  void NoteFailed(const gpRunId& aRun);
  /// The stop was confirmed, or the run has ended.
  void Forget(const gpRunId& aRun) { stops_.erase(aRun); }
  void Clear() { stops_.clear(); }

  /// Failed stops whose last call was sent at least aPause ago.
  std::vector<gpRunId> ListDue(gpTime aNow, gpMillis aPause) const;
  /// When the next failed stop is due; the maximum if there is none.
  gpTime GetNext(gpMillis aPause) const;
  /// Whether a stop is overdue.
  bool HasOverdue(gpTime aNow) const;

private:
  struct Stop
  {
    gpTime sentAt_;
    bool failed_ = false;
    gpTime overdueAt_ = gpTime::max();
  };

  std::map<gpRunId, Stop> stops_;
};
