#pragma once

#include <cstdint>
#include <memory>

#include <absl/status/statusor.h>

#include "gpFaultConnection.h"
#include "gpIds.h"

class gpEventLoop;
class gpTimerService;

/** \class gpProxyCounts
 * \brief Counters of the proxy since its start.
 */
struct gpProxyCounts
{
  /// Currently open connections.
  std::uint64_t open_ = 0;
  std::uint64_t accepted_ = 0;
  /// Connections that were reset by a command.
  std::uint64_t cut_ = 0;
  /// Replays that were started, and those that have ended because the server
  /// closed the connection or could not be reached.
  std::uint64_t replays_ = 0;
  std::uint64_t replaysEnded_ = 0;
  gpFaultCounts toServer_;
  gpFaultCounts toClient_;
};

/** \class gpFaultProxy
 * \brief A TCP proxy in front of one server that injects faults on command.
 */
class gpFaultProxy
{
public:
  gpFaultProxy(gpEventLoop& aLoop, gpTimerService& aTimers);
  ~gpFaultProxy();
  gpFaultProxy(const gpFaultProxy&) = delete;
  gpFaultProxy& operator=(const gpFaultProxy&) = delete;

  /// Starts to listen; port 0 selects a free port. Returns the bound address.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  /// Sets the server for new connections; open ones keep theirs.
  absl::Status SetServer(const gpAddress& aServer);
  /// The faults that were set most recently.
  gpFaults GetFaults() const;
  /// Sets the faults of the open connections and of new ones.
  void SetFaults(gpFaults aFaults);
  /// Sets the faults of the currently open connections only.
  void SetOpenConnectionFaults(gpFaults aFaults);
  /// Resets all connections and clears all faults, so that new connections are
  /// forwarded normally.
  void Cut();
  /// True resets all connections and refuses new ones; false accepts them
  /// again.
  absl::Status SetRefusing(bool aRefusing);
  /// Starts or stops recording the bytes sent to the server. Starting discards
  /// earlier records.
  void SetRecording(bool aRecording);
  /// Sends the bytes of the newest non-empty record to the server again, on a
  /// new connection. Returns NotFound if nothing is recorded.
  absl::Status Replay();
  /// Sends the most recent chunk to the server again on each open connection.
  void Repeat();
  gpProxyCounts GetCounts() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
