#pragma once

#include <cstddef>
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
  /// Most stop calls in flight. Further stops are due when one of these has
  /// ended: more calls than the connections to the target carry at a time would
  /// time out, and repeating all of them would keep the guard from the rest.
  static constexpr std::size_t kMostInFlight = 32;

  bool MaySend() const { return inFlight_ < kMostInFlight; }
  /// If the stop was sent before, it stays overdue from then on if that is
  /// earlier than aOverdueAt.
  void NoteSent(const gpRunId& aRun, gpTime aNow, gpTime aOverdueAt);
  /// The stop couldn't be sent, as MaySend was false; it's due from now on.
  void NoteNotSent(const gpRunId& aRun, gpTime aOverdueAt);
  /// Makes a pending stop overdue from aOverdueAt on, or from earlier on.
  void Hurry(const gpRunId& aRun, gpTime aOverdueAt);
  /// The stop call failed or was not answered, so it's to be repeated.
  void NoteFailed(const gpRunId& aRun);
  /// The stop was confirmed, or the run has ended.
  void Forget(const gpRunId& aRun);
  void Clear();

  /// Stops that weren't sent, or failed and were sent at least aPause ago; the
  /// earliest first, and as many as may be sent now.
  std::vector<gpRunId> ListDue(gpTime aNow, gpMillis aPause) const;
  /// When the next of them is due; the maximum if there is none, or if none may
  /// be sent before a call has ended.
  gpTime GetNext(gpMillis aPause) const;
  /// Whether a stop is overdue.
  bool HasOverdue(gpTime aNow) const;

private:
  struct Stop
  {
    /// When the last call was sent; the zero of the clock if none was.
    gpTime sentAt_;
    bool isInFlight_ = false;
    gpTime overdueAt_ = gpTime::max();
  };

  void SetInFlight(Stop& aStop, bool aIsInFlight);

  std::map<gpRunId, Stop> stops_;
  std::size_t inFlight_ = 0;
};
