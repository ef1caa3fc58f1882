#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "gpCrowd.h"
#include "gpMember.h"
#include "gpPlatformCluster.h"
#include "gpTestProcess.h"

/** \class gpMachineBounds
 * \brief What the smallest machine of the users' sites allows one process.
 */
struct gpMachineBounds
{
  std::size_t memoryBytes_;
  /// Descriptors for sockets; 200 more are kept for files.
  std::size_t sockets_;
};

/// The smallest machine of an entry, and of a guard.
constexpr gpMachineBounds kEntryMachine{ 120'000'000, 3075 - 200 };
constexpr gpMachineBounds kGuardMachine{ 128'000'000, 4096 - 200 };

/** \class gpCrowdedPort
 * \brief A port of an entry or a guard that a crowd connects to.
 */
struct gpCrowdedPort
{
  gpRole role_;
  /// Its purpose in the log, such as "callers".
  std::string purpose_;
};

/// All ports on which processes of the users' platform speak HTTP.
const std::vector<gpCrowdedPort>&
gpHttpPorts();

/** \class gpClientsFixture
 * \brief An entry, and a guard with its worker, that a crowd connects to.
 */
class gpClientsFixture
{
public:
  gpClientsFixture();

  /// Lets the crowd send to the port, and checks that the process lives within
  /// its machine and that an ordinary job is served, beside the crowd and after
  /// it has left.
  void Play(const gpCrowdedPort& aPort, const gpCrowdPlan& aPlan);
  /// The same with a crowd at each of these ports at once.
  void Play(const std::vector<gpCrowdedPort>& aPorts, const gpCrowdPlan& aPlan);
  gpAddress AddressOf(const gpCrowdedPort& aPort);

private:
  gpTestProcess& ProcessOf(gpRole aRole);
  void NoteDescriptors();
  void CheckProcesses();
  /// Submits an ordinary job, again as often as the answer asks for that, and
  /// checks that it's served in the end.
  void CheckIsServed(const std::string& aWhen);

  gpPlatformCluster cluster_;
  std::size_t peakEntryDescriptors_ = 0;
  std::size_t peakGuardDescriptors_ = 0;
  int lastJob_ = 0;
};

/// A request whose body has this many bytes, of which none is in the text.
std::string
gpAnnouncedBody(std::size_t aBytes);
/// The head of a request with a chunked body.
std::string
gpChunkedHead();
/// A whole submission of a job with this ID.
std::string
gpSubmission(const std::string& aId, const std::string& aBody);
/// IDs of jobs, all different.
std::string
gpTestJobId(std::size_t aNumber);
