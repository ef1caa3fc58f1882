#pragma once

#include <functional>
#include <memory>

#include "gpConfigurationStream.h"
#include "gpLogClient.h"
#include "gpRosterStream.h"
#include "gpTime.h"

class gpEventLoop;
class gpTimerService;

/** \class gpLogServiceStreams
 * \brief Reads the configuration and roster streams of the log service as they
 * grow, and appends checkpoints to them before the log deletes old records.
 */
class gpLogServiceStreams
{
public:
  struct Handlers
  {
    /// A new configuration is in force.
    std::function<void(const gpVersionedConfiguration&)> configuration_;
    /// A record of the configuration stream was rejected.
    std::function<void(const gpConfigurationEvent&)> rejected_;
    /// A new roster is in force. The flag is false if epochs between it and the
    /// previous one were missed.
    std::function<void(const gpRoster&, bool)> roster_;
    /// The log service answered a read of the roster.
    std::function<void()> contact_;
    /// The log service became available (ok) or unavailable.
    std::function<void(const absl::Status&)> health_;
  };

  gpLogServiceStreams(gpTimerService& aTimers,
                      gpLogClient& aLog,
                      Handlers aHandlers);
  ~gpLogServiceStreams();
  gpLogServiceStreams(const gpLogServiceStreams&) = delete;
  gpLogServiceStreams& operator=(const gpLogServiceStreams&) = delete;

  void Start();
  /// Appends checkpoints from now on, at random times, so that processes don't
  /// append at the same time.
  void PublishCheckpoints(std::uint64_t aSeed);
  /// Whether the roster stream has been read to its end at least once.
  bool IsRosterRead() const;
  bool IsLogAvailable() const;
  const gpVersionedConfiguration& GetConfiguration() const;
  const gpRoster& GetRoster() const;
  /// Adopts a newer configuration or roster that a peer has sent.
  void Adopt(const gpConfigurationUpdate& aUpdate);
  void Adopt(const gpRosterUpdate& aUpdate);
  std::optional<gpConfigurationUpdate> MakeConfigurationUpdate() const;
  std::optional<gpRosterUpdate> MakeRosterUpdate() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
