#pragma once

#include <map>
#include <vector>

#include "gpRunMessages.h"
#include "gpTime.h"

/** \class gpPendingStops
 * \brief Stops that the target has not confirmed yet, and when those without
 * an answer are repeated.
 */
class gpPendingStops
{
public:
  void NoteSent(const gpRunId& aRun, gpTime aNow) { stops_[aRun] = { aNow }; }
  /// The stop was not answered, and is to be repeated.
  void NoteFailed(const gpRunId& aRun);
  /// The stop was confirmed, or the run is over.
  void Forget(const gpRunId& aRun) { stops_.erase(aRun); }
  void Clear() { stops_.clear(); }

  /// Stops to be repeated now, if aPause lies between the calls of one stop.
  std::vector<gpRunId> ListDue(gpTime aNow, gpMillis aPause) const;
  /// When the next one is to be repeated; the maximum if there is none.
  gpTime GetNext(gpMillis aPause) const;

private:
  struct Stop
  {
    gpTime sentAt_;
    bool failed_ = false;
  };

  std::map<gpRunId, Stop> stops_;
};
