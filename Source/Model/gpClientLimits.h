#pragma once

#include <cstddef>
#include <cstdint>

/** \class gpClientLimits
 * \brief Limits on what others can make a process keep, whoever they are: the
 * connections and the bytes of one client, and of all together.
 *
 * Each port has limits of its own. A crowd at one port stays within the
 * smallest machine; the defaults of all ports together exceed its descriptors.
 */
struct gpClientLimits
{
  /// Descriptors that the process may have open; 0: as many as the operating
  /// system allows.
  std::size_t descriptors_ = 0;
  /// Connections of callers to an entry, or to the port of a guard for its
  /// target.
  std::size_t connections_ = 2400;
  /// Largest body of a request at that port, in bytes.
  std::size_t bodyBytes_ = 128U << 10U;
  /// Most bytes kept for all connections to that port together.
  std::size_t memoryBytes_ = 16U << 20U;
  /// Connections to each of the ports for status and metrics.
  std::size_t statusConnections_ = 64;
  /// Accepted links whose handshake is in progress.
  std::size_t handshakes_ = 128;
  /// Accepted links that are up.
  std::size_t links_ = 1024;
  /// Largest frame on a link, in bytes.
  std::size_t frameBytes_ = 4U << 20U;
  /// Most bytes kept for all links together.
  std::size_t linkMemoryBytes_ = 16U << 20U;
  /// Tasks of all best-effort jobs of an entry that haven't been answered.
  std::size_t tasks_ = 40000;
};

/// An entry for best-effort jobs.
constexpr gpClientLimits kEntryClientLimits{};
/// A guard for best-effort jobs: only its target calls it.
constexpr gpClientLimits kGuardClientLimits{ .connections_ = 256,
                                             .bodyBytes_ = 256U << 10U,
                                             .memoryBytes_ = 4U << 20U,
                                             .links_ = 128 };
/// An entry or guard that serves the product's own interface, where jobs carry
/// the bodies of their tasks.
constexpr gpClientLimits kOwnInterfaceLimits{ .bodyBytes_ = 4U << 20U,
                                              .frameBytes_ = 64U << 20U,
                                              .linkMemoryBytes_ = 128U << 20U };
