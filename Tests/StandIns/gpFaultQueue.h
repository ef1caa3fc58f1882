#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "gpTime.h"

/// How the bytes of one direction of a connection are treated.
enum class gpFaultMode
{
  Pass,  ///< forwarded immediately
  Delay, ///< forwarded in order after a delay
  Hold,  ///< queued until the mode changes, then forwarded in order
  Drop,  ///< discarded, including the end of stream; stays open
};

/** \class gpFault
 * \brief The fault that is injected in one direction.
 */
struct gpFault
{
  gpFaultMode mode_ = gpFaultMode::Pass;
  /// Applies to mode Delay only.
  gpMillis delay_{ 0 };
};

/** \class gpFaultChunk
 * \brief The bytes of one read, or the end of the stream.
 */
struct gpFaultChunk
{
  std::string bytes_{};
  bool end_ = false;
  gpTime due_{};
};

/** \class gpFaultQueue
 * \brief Queues the bytes of one direction until they are due.
 */
class gpFaultQueue
{
public:
  /// Also applies to the chunks that are already queued: Drop discards them,
  /// any other mode sets their due times anew.
  void SetFault(gpFault aFault, gpTime aNow);
  void Put(gpFaultChunk aChunk, gpTime aNow);
  /// Removes and returns the first chunk if it is due.
  std::optional<gpFaultChunk> Take(gpTime aNow);
  /// The due time of the first chunk; not set if the queue is empty or in mode
  /// Hold.
  std::optional<gpTime> NextDue() const;
  std::size_t WaitingBytes() const { return waitingBytes_; }
  std::uint64_t DroppedBytes() const { return droppedBytes_; }

private:
  gpFault fault_;
  std::deque<gpFaultChunk> chunks_;
  std::size_t waitingBytes_ = 0;
  std::uint64_t droppedBytes_ = 0;
};
