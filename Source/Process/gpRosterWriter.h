#pragma once

#include <memory>
#include <vector>

#include "gpIds.h"
#include "gpMember.h"

class gpLogClient;
class gpLogServiceStreams;
class gpTimerService;

/** \class gpRosterWriter
 * \brief Appends joins and removals of members to the roster stream, and
 * repeats them until the roster in force contains the change.
 */
class gpRosterWriter
{
public:
  gpRosterWriter(gpTimerService& aTimers,
                 gpLogClient& aLog,
                 const gpLogServiceStreams& aStreams);
  ~gpRosterWriter();
  gpRosterWriter(const gpRosterWriter&) = delete;
  gpRosterWriter& operator=(const gpRosterWriter&) = delete;

  /// Adds a member, once the roster has been read to its end.
  void Join(gpMember aMember);
  /// Removes members. Cancels a pending join of one of them.
  void Remove(const std::vector<gpIncarnation>& aGuards);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
