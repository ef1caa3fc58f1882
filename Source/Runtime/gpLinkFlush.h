#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "gpIds.h"

/** \class gpLinkFlush
 * \brief Calls handlers when links have written the bytes that were queued on
 * them.
 *
 * Internal to this folder.
 */
class gpLinkFlush
{
public:
  /// For each link, the count of written bytes to wait for.
  using Targets = std::map<gpLinkId, std::uint64_t>;

  /// Calls the handler when each link has reached its target; at once, from
  /// inside this call, if there are none.
  void Add(Targets aTargets, std::function<void()> aHandler);
  /// The link has written that many bytes since it was opened.
  void OnWritten(gpLinkId aLink, std::uint64_t aWrittenBytes);
  /// The link is closed: its targets count as reached.
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
