#include "gpWorkPool.h"

#include <cstddef>
#include <utility>

#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/task_arena.h>
#include <oneapi/tbb/task_group.h>

#include "gpEventLoop.h"

namespace {

/// Slots of the arena that are reserved for application threads. The loop's
/// thread never runs work, so it needs none.
constexpr unsigned kReservedSlots = 0;

} // namespace

struct gpWorkPool::Impl
{
  Impl(gpEventLoop& aLoop, int aConcurrency)
    : loop_(aLoop)
    , threads_(tbb::global_control::max_allowed_parallelism,
               static_cast<std::size_t>(aConcurrency) + 1)
    , arena_(aConcurrency, kReservedSlots)
  {
  }

  gpEventLoop& loop_;
  /// Raises oneTBB's limit of threads, which is the number of processors by
  /// default, so that a machine with fewer processors than aConcurrency still
  /// gets all threads. The loop's thread counts as one, hence the 1 added.
  tbb::global_control threads_;
  tbb::task_arena arena_;
  tbb::task_group group_;
};

gpWorkPool::gpWorkPool(gpEventLoop& aLoop, int aConcurrency)
  : impl_(std::make_unique<Impl>(aLoop, aConcurrency))
{
}

gpWorkPool::~gpWorkPool()
{
  impl_->group_.wait();
}

void
gpWorkPool::Submit(std::function<void()> aWork, std::function<void()> aDone)
{
  gpEventLoop& loop = impl_->loop_;
  // Unlike task_group::run, enqueue never runs work on the calling thread.
  impl_->arena_.enqueue(impl_->group_.defer(
    [&loop, work = std::move(aWork), done = std::move(aDone)]() noexcept {
      work();
      loop.Post(done);
    }));
}
