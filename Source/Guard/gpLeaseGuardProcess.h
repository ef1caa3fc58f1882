#pragma once

#include <memory>
#include <string>

#include "gpAnnouncementPort.h"
#include "gpLeaseGuardReducer.h"
#include "gpLeaseNode.h"
#include "gpTargetPort.h"

/** \class gpLeaseGuardProcess
 * \brief Runs a guard for best-effort jobs: gives events to its reducer and
 * carries out effects.
 */
class gpLeaseGuardProcess : public gpLeaseNode
{
public:
  /// Makes the target port, which needs the client of this process.
  using MakeTarget =
    std::function<std::unique_ptr<gpTargetPort>(gpHttpClient&)>;

  gpLeaseGuardProcess(const gpLeaseSettings& aSettings,
                      std::unique_ptr<gpAnnouncementPort> aAnnouncements,
                      const MakeTarget& aMakeTarget);

  absl::Status Open();
  void CloseServers(std::function<void()> aClosed) override;
  void OnEntriesFound(std::vector<gpAddress> aEntries) override;

private:
  void OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp);
  std::string StatusFields() const;
  template<typename Input>
  void Reduce(Input aInput);
  void Carry(gpLeaseEffect& aEffect);

  gpLeaseSettings settings_;
  std::unique_ptr<gpAnnouncementPort> announcements_;
  std::unique_ptr<gpTargetPort> target_;
  gpHttpServer announced_;
  std::unique_ptr<gpLeaseGuardReducer> reducer_;
};
