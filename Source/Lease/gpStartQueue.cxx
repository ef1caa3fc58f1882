#include "gpStartQueue.h"

#include <utility>

gpStartQueue::Start
gpStartQueue::TakeNext()
{
  Start start = std::move(queue_.front());
  queue_.pop_front();
  return start;
}
