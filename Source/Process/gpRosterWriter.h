#pragma once

#include <memory>
#include <vector>

#include "gpIds.h"
#include "gpMember.h"

class gpLogClient;
class gpPlatformStreams;
class gpTimerService;

/** \class gpRosterWriter
 * \brief Appends joins and removals to the roster stream, and appends again
 * until the roster in force shows them.
 */
class gpRosterWriter
{
public:
  gpRosterWriter(gpTimerService& aTimers,
                 gpLogClient& aLog,
                 const gpPlatformStreams& aStreams);
  ~gpRosterWriter();
  gpRosterWriter(const gpRosterWriter&) = delete;
  gpRosterWriter& operator=(const gpRosterWriter&) = delete;

  /// Makes the member join, once the roster has been read to its end.
  void Join(gpMember aMember);
  /// Removes the members; a join that's still wanted is given up.
  void Remove(const std::vector<gpIncarnation>& aGuards);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
