#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "gpStrongType.h"

/// Random number that identifies one execution of a process, from its start to
/// its end; 0 means that it isn't set.
using gpIncarnation = gpStrongType<struct gpIncarnationTag, std::uint64_t>;
/// One TCP connection to another process of the system; each end has its own
/// numbers.
using gpLinkId = gpStrongType<struct gpLinkIdTag, std::uint64_t>;
/// One request of a caller, numbered by the entry that received it.
using gpRequestId = gpStrongType<struct gpRequestIdTag, std::uint64_t>;
/// Position of a task in its submission, from 0.
using gpTaskIndex = gpStrongType<struct gpTaskIndexTag, std::uint32_t>;
/// Number of the attempt to start a task, from 1.
using gpAttempt = gpStrongType<struct gpAttemptTag, std::uint32_t>;
/// Version of the configuration; 0 before the first one.
using gpConfigVersion = gpStrongType<struct gpConfigVersionTag, std::uint64_t>;
/// Offset of a record in a stream of the log service, from 0.
using gpLogOffset = gpStrongType<struct gpLogOffsetTag, std::uint64_t>;
/// Epoch of the roster: 1 + the offset of the last record applied; 0 if none.
using gpRosterEpoch = gpStrongType<struct gpRosterEpochTag, std::uint64_t>;
/// Number of a claim partition of a service, from 0.
using gpPartition = gpStrongType<struct gpPartitionTag, std::uint32_t>;
/// Identifies one run of `gypsumpoint apply`. If the answer to the append was
/// lost, the command finds out by this ID whether its configuration is in
/// force.
using gpApplyId = gpStrongType<struct gpApplyIdTag, std::string>;

using gpServiceName = gpStrongType<struct gpServiceNameTag, std::string>;
using gpTeamName = gpStrongType<struct gpTeamNameTag, std::string>;
using gpRegionName = gpStrongType<struct gpRegionNameTag, std::string>;
using gpDataCentreName = gpStrongType<struct gpDataCentreNameTag, std::string>;
using gpRackName = gpStrongType<struct gpRackNameTag, std::string>;
/// The submission ID that a caller chose (HTTP header Idempotency-Key).
/// The name of a queue of best-effort jobs.
using gpQueueName = gpStrongType<struct gpQueueNameTag, std::string>;
using gpSubmissionKey = gpStrongType<struct gpSubmissionKeyTag, std::string>;
/// IP number and port, as "127.0.0.1:8080".
using gpAddress = gpStrongType<struct gpAddressTag, std::string>;

/** \class gpJobId
 * \brief Identifies one job of one incarnation of an entry, and its claim.
 */
struct gpJobId
{
  gpIncarnation entry_;
  std::uint64_t sequence_ = 0;

  // A false positive of clang-tidy 14, see gpStrongType.h.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpJobId&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const gpJobId& aId)
  {
    return H::combine(std::move(aState), aId.entry_, aId.sequence_);
  }
};

/** \class gpTaskId
 * \brief Identifies one task of one job.
 */
struct gpTaskId
{
  gpJobId job_;
  gpTaskIndex task_;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpTaskId&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const gpTaskId& aId)
  {
    return H::combine(std::move(aState), aId.job_, aId.task_);
  }
};

/** \class gpServiceKey
 * \brief The key of a claim: a service and a caller's submission key.
 */
struct gpServiceKey
{
  gpServiceName service_;
  gpSubmissionKey key_;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpServiceKey&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const gpServiceKey& aKey)
  {
    return H::combine(std::move(aState), aKey.service_, aKey.key_);
  }
};
