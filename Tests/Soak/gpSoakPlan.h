#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gpTime.h"

/// What a fault of the soak does to its subject; it's undone after a time.
enum class gpSoakFaultKind
{
  KillEntry,     ///< SIGKILL, and a new start
  KillGuard,     ///< likewise
  KillWorker,    ///< likewise
  TermEntry,     ///< SIGTERM, and a new start after the exit
  FreezeEntry,   ///< SIGSTOP, SIGCONT
  FreezeGuard,   ///< likewise
  DelayLinks,    ///< what passes an entry's links comes late
  ResetLinks,    ///< an entry's links are reset, and refused
  SilenceLinks,  ///< what passes an entry's links is kept back
  OneWayLinks,   ///< likewise, to the entry only
  DelayWorker,   ///< calls to a worker come late
  ResetWorker,   ///< connections to a worker are reset, and refused
  SilenceWorker, ///< calls to a worker, or their answers, are kept back
  LoseStarts,    ///< a worker carries out starts and doesn't answer
  DrainWorker,   ///< a worker says that it leaves, for a time
  RefusingStore, ///< the store answers 503
  SilentStore,   ///< the store doesn't answer
  ResetStore,    ///< connections to the store are reset, and refused
  TrimmedStore,  ///< the store drops its history
  Configuration, ///< another version of the configuration
  Count
};

/** \class gpSoakFault
 * \brief One fault of a plan.
 */
struct gpSoakFault
{
  gpSoakFaultKind kind_ = gpSoakFaultKind::KillEntry;
  /// Since the start of the soak.
  gpMillis at_{ 0 };
  gpMillis length_{ 0 };
  /// Which entry, guard or worker.
  std::size_t subject_ = 0;
};

/** \class gpSoakPlan
 * \brief All that a seed decides: the processes, the load and the faults, which
 * overlap and come in series.
 */
struct gpSoakPlan
{
  std::uint64_t seed_ = 0;
  std::size_t entries_ = 2;
  std::size_t guards_ = 3;
  /// Time in which faults begin.
  gpMillis length_{ 0 };
  /// Mean pause between two jobs.
  gpMillis jobPause_{ 0 };
  std::vector<gpSoakFault> faults_;
};

/// The plan of a seed. aScale multiplies the number of processes and the load.
gpSoakPlan
gpMakeSoakPlan(std::uint64_t aSeed, std::size_t aScale);

/// The name of a kind, for messages.
std::string
gpSoakFaultName(gpSoakFaultKind aKind);
