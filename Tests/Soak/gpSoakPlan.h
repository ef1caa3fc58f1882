#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gpTime.h"

/// What a fault does to a process or its connections. Most faults are cleared
/// after their length.
enum class gpSoakFaultKind
{
  KillEntry,         ///< SIGKILL, then a restart
  KillGuard,         ///< likewise
  KillWorker,        ///< likewise
  TermEntry,         ///< SIGTERM, then a restart after the exit
  FreezeEntry,       ///< SIGSTOP, then SIGCONT
  FreezeGuard,       ///< likewise
  DelayLinks,        ///< data on an entry's links is delayed
  ResetLinks,        ///< an entry's links are reset, new ones refused
  SilenceLinks,      ///< data on an entry's links is held back
  OneWayLinks,       ///< likewise, only data to the entry
  DelayWorker,       ///< calls to a worker are delayed
  ResetWorker,       ///< a worker's connections are reset, new ones refused
  SilenceWorker,     ///< calls to a worker, or their answers, are held back
  LoseStarts,        ///< a worker runs tasks without answering the start
  DrainWorker,       ///< a worker announces for a time that it leaves
  RefusingStore,     ///< the store answers 503
  SilentStore,       ///< the store doesn't answer
  ResetStore,        ///< the store's connections are reset, new ones refused
  TrimmedStore,      ///< the store drops its history
  Configuration,     ///< a new configuration version is applied
  ForeignHeartbeats, ///< guards get heartbeats that their targets did not send
  LoseStops,         ///< a worker ignores some stops
  RepeatJobs,        ///< requests of completed jobs arrive once more
  KillAll,           ///< SIGKILL of all entries and guards, then restarts
  Count
};

/// The kinds from which the regression seeds were drawn.
constexpr auto kFirstSoakKinds =
  static_cast<std::size_t>(gpSoakFaultKind::ForeignHeartbeats);
constexpr auto kAllSoakKinds = static_cast<std::size_t>(gpSoakFaultKind::Count);

/** \class gpSoakFault
 * \brief One fault of a plan.
 */
struct gpSoakFault
{
  gpSoakFaultKind kind_ = gpSoakFaultKind::KillEntry;
  /// Time from the start of the soak to the start of the fault.
  gpMillis at_{ 0 };
  gpMillis length_{ 0 };
  /// Selects the entry, guard, worker or kind of heartbeat: its index, modulo
  /// their number.
  std::size_t processIndex_ = 0;
};

/** \class gpSoakPlan
 * \brief All that a seed determines: the number of processes, the load and the
 * faults, which may overlap and repeat.
 */
struct gpSoakPlan
{
  std::uint64_t seed_ = 0;
  std::size_t entries_ = 2;
  std::size_t guards_ = 3;
  /// The period in which faults begin.
  gpMillis length_{ 0 };
  /// Pause between two jobs.
  gpMillis jobPause_{ 0 };
  std::vector<gpSoakFault> faults_;
};

/// Makes the plan of a seed, with faults of the first aKinds kinds. aScale
/// multiplies the number of processes and faults, and the load.
gpSoakPlan
gpMakeSoakPlan(std::uint64_t aSeed, std::size_t aScale, std::size_t aKinds);

/// The name of a kind, for messages.
std::string
gpSoakFaultName(gpSoakFaultKind aKind);
