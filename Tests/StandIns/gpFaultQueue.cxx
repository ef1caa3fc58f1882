#include "gpFaultQueue.h"

#include <utility>

void
gpFaultQueue::SetFault(gpFault aFault, gpTime aNow)
{
  fault_ = aFault;
  if (aFault.mode_ == gpFaultMode::Drop) {
    droppedBytes_ += waitingBytes_;
    waitingBytes_ = 0;
    chunks_.clear();
  }
  const gpMillis delay =
    aFault.mode_ == gpFaultMode::Delay ? aFault.delay_ : gpMillis(0);
  for (gpFaultChunk& chunk : chunks_) {
    chunk.due_ = aNow + delay;
  }
}

void
gpFaultQueue::Put(gpFaultChunk aChunk, gpTime aNow)
{
  if (fault_.mode_ == gpFaultMode::Drop) {
    droppedBytes_ += aChunk.bytes_.size();
    return;
  }
  aChunk.due_ = aNow;
  if (fault_.mode_ == gpFaultMode::Delay) {
    aChunk.due_ += fault_.delay_;
  }
  waitingBytes_ += aChunk.bytes_.size();
  chunks_.push_back(std::move(aChunk));
}

std::optional<gpFaultChunk>
gpFaultQueue::Take(gpTime aNow)
{
  const std::optional<gpTime> due = NextDue();
  if (!due || *due > aNow) {
    return std::nullopt;
  }
  gpFaultChunk chunk = std::move(chunks_.front());
  chunks_.pop_front();
  waitingBytes_ -= chunk.bytes_.size();
  return chunk;
}

std::optional<gpTime>
gpFaultQueue::NextDue() const
{
  if (chunks_.empty() || fault_.mode_ == gpFaultMode::Hold) {
    return std::nullopt;
  }
  return chunks_.front().due_;
}
