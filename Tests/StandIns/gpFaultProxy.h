#pragma once

#include <cstdint>
#include <memory>

#include <absl/status/statusor.h>

#include "gpFaultConnection.h"
#include "gpIds.h"

class gpEventLoop;
class gpTimerService;

/** \class gpProxyCounts
 * \brief What the proxy has done since its start.
 */
struct gpProxyCounts
{
  /// Connections that are open now.
  std::uint64_t open_ = 0;
  std::uint64_t accepted_ = 0;
  /// Connections that a command reset.
  std::uint64_t cut_ = 0;
  /// Replays that were started, and those that the server has closed.
  std::uint64_t replays_ = 0;
  std::uint64_t replaysEnded_ = 0;
  gpFaultCounts toServer_;
  gpFaultCounts toClient_;
};

/** \class gpFaultProxy
 * \brief A TCP proxy in front of one server, with faults on command.
 */
class gpFaultProxy
{
public:
  gpFaultProxy(gpEventLoop& aLoop, gpTimerService& aTimers);
  ~gpFaultProxy();
  gpFaultProxy(const gpFaultProxy&) = delete;
  gpFaultProxy& operator=(const gpFaultProxy&) = delete;

  /// Listens; port 0 takes a free one. Returns the address in use.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  /// The server of the connections that come from now on.
  absl::Status SetServer(const gpAddress& aServer);
  /// What was set last.
  gpFaults GetFaults() const;
  /// Also applies to the connections that are open.
  void SetFaults(gpFaults aFaults);
  /// Applies to the connections that are open now only.
  void SetFaultsOfOpen(gpFaults aFaults);
  /// Resets all connections; later ones pass.
  void Cut();
  /// Resets all connections and refuses new ones, or takes them again.
  absl::Status SetRefusing(bool aRefusing);
  /// Whether the bytes to the server are recorded from now on.
  void SetRecording(bool aRecording);
  /// Sends the bytes recorded on the newest connection to the server again,
  /// on a new connection. NotFound if there are none.
  absl::Status Replay();
  /// Sends the last chunk to the server again, on each open connection.
  void Repeat();
  gpProxyCounts GetCounts() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
