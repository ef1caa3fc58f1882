#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "gpAnswer.h"
#include "gpConfiguration.h"
#include "gpGuardDirectory.h"
#include "gpIds.h"
#include "gpSubmission.h"
#include "gpTime.h"

/** \class gpAdmissionPolicy
 * \brief Decides whether a job as a whole is admitted or is refused
 * immediately.
 */
class gpAdmissionPolicy
{
public:
  void SetConfiguration(const gpConfiguration& aConfiguration)
  {
    configuration_ = aConfiguration;
  }
  bool HasConfiguration() const { return configuration_.has_value(); }
  const gpServiceConfig* FindService(const gpServiceName& aService) const;

  /// The reason to refuse the job; not set if it may be admitted. aWaiting is
  /// the number of tasks of the service that wait at this entry.
  std::optional<gpFailure> Check(const gpSubmission& aSubmission,
                                 std::size_t aWaiting,
                                 gpGuardDirectory& aGuards) const;
  /// Counts the tasks of a job against the limit of its team, until Release.
  void Reserve(const gpSubmission& aSubmission);
  void Release(const gpTeamName& aTeam, std::size_t aTasks);

private:
  std::optional<gpFailure> CheckNames(const gpSubmission& aSubmission) const;
  std::optional<gpFailure> CheckTeam(const gpSubmission& aSubmission,
                                     gpMicros aMeanRun) const;

  std::optional<gpConfiguration> configuration_;
  std::map<gpTeamName, std::size_t> teamTasks_;
};
