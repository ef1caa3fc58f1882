#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "gpTime.h"

/// What happens to the bytes of one direction of a connection.
enum class gpFaultMode
{
  Pass,  ///< forwarded at once
  Delay, ///< forwarded later, in order
  Hold,  ///< kept until the mode changes, then forwarded in order
  Drop,  ///< discarded, with the end of the stream; the connection stays open
};

/** \class gpFault
 * \brief The fault in force for one direction.
 */
struct gpFault
{
  gpFaultMode mode_ = gpFaultMode::Pass;
  /// Used with Delay.
  gpMillis delay_{ 0 };
};

/** \class gpFaultChunk
 * \brief Bytes of one read, or the end of the stream.
 */
struct gpFaultChunk
{
  std::string bytes_{};
  bool end_ = false;
  gpTime due_{};
};

/** \class gpFaultQueue
 * \brief Decides when the bytes of one direction are forwarded.
 */
class gpFaultQueue
{
public:
  /// Also applies to the chunks that wait.
  void SetFault(gpFault aFault, gpTime aNow);
  void Put(gpFaultChunk aChunk, gpTime aNow);
  /// The first chunk, if it's due.
  std::optional<gpFaultChunk> Take(gpTime aNow);
  /// When the first chunk is due; not set if none waits or they are held.
  std::optional<gpTime> NextDue() const;
  std::size_t WaitingBytes() const { return waitingBytes_; }
  std::uint64_t DroppedBytes() const { return droppedBytes_; }

private:
  gpFault fault_;
  std::deque<gpFaultChunk> chunks_;
  std::size_t waitingBytes_ = 0;
  std::uint64_t droppedBytes_ = 0;
};
