#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "gpIds.h"

/** \class gpLinkFlush
 * \brief Handlers that wait until links have written what was queued on them.
 *
 * For .cxx files of this folder.
 */
class gpLinkFlush
{
public:
  /// Written bytes that each link must reach.
  using Targets = std::map<gpLinkId, std::uint64_t>;

  /// Waits for the targets; calls the handler at once if there are none.
  void Add(Targets aTargets, std::function<void()> aHandler);
  void OnWritten(gpLinkId aLink, std::uint64_t aWrittenBytes);
  /// Nobody waits for a closed link.
  void OnClosed(gpLinkId aLink);

private:
  struct Waiter
  {
    Targets targets_;
    std::function<void()> handler_;
  };

  void CallReady();

  std::vector<Waiter> waiters_;
};
