#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "gpRunMessages.h"

/** \class gpStartQueue
 * \brief The runs whose start hasn't been sent to a guard's target yet.
 *
 * Only some starts are in flight at a time. More calls than the connections to
 * the target carry would time out, and count as failures of the target.
 */
class gpStartQueue
{
public:
  /// Most start calls in flight.
  static constexpr std::size_t kMostInFlight = 32;

  struct Start
  {
    gpRunId run_;
    /// Shared by the runs of one order, of which there may be thousands.
    std::shared_ptr<const std::string> spec_;
  };

  void Add(Start aStart) { queue_.push_back(std::move(aStart)); }
  /// Whether there's a start that may be sent now.
  bool HasNext() const { return !queue_.empty() && inFlight_ < kMostInFlight; }
  /// Takes the start that was added first; HasNext must be true.
  Start TakeNext();
  void NoteSent() { ++inFlight_; }
  /// A start call was answered, failed or timed out.
  void NoteReplied() { --inFlight_; }

private:
  std::deque<Start> queue_;
  std::size_t inFlight_ = 0;
};
