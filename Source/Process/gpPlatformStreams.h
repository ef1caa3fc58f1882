#pragma once

#include <functional>
#include <memory>

#include "gpConfigurationStream.h"
#include "gpLogClient.h"
#include "gpRosterStream.h"
#include "gpTime.h"

class gpEventLoop;
class gpTimerService;

/** \class gpPlatformStreams
 * \brief Follows the configuration and roster streams of the log service, and
 * publishes checkpoints of them before the log forgets their beginning.
 */
class gpPlatformStreams
{
public:
  struct Handlers
  {
    /// Another configuration is in force.
    std::function<void(const gpVersionedConfiguration&)> configuration_;
    /// A record of the configuration stream was rejected.
    std::function<void(const gpConfigurationEvent&)> rejected_;
    /// Another roster is in force. False if epochs were missed before it.
    std::function<void(const gpRoster&, bool)> roster_;
    /// The log service answered a read of the roster.
    std::function<void()> contact_;
    /// The log service answers, or no longer does.
    std::function<void(const absl::Status&)> health_;
  };

  gpPlatformStreams(gpTimerService& aTimers,
                    gpLogClient& aLog,
                    Handlers aHandlers);
  ~gpPlatformStreams();
  gpPlatformStreams(const gpPlatformStreams&) = delete;
  gpPlatformStreams& operator=(const gpPlatformStreams&) = delete;

  void Start();
  /// Publishes checkpoints from now on, at times that differ by process.
  void PublishCheckpoints(std::uint64_t aSeed);
  /// Whether the roster stream has been read to its end once.
  bool IsRosterRead() const;
  bool IsLogAvailable() const;
  const gpVersionedConfiguration& GetConfiguration() const;
  const gpRoster& GetRoster() const;
  /// What another process tells of its newest configuration and roster.
  void Adopt(const gpConfigurationNews& aNews);
  void Adopt(const gpRosterNews& aNews);
  std::optional<gpConfigurationNews> MakeConfigurationNews() const;
  std::optional<gpRosterNews> MakeRosterNews() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
