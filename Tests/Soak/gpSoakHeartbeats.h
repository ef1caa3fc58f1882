#pragma once

#include <optional>
#include <string>

#include <boost/json.hpp>

#include "gpHttpMessage.h"

/** \class gpSoakHeartbeats
 * \brief Heartbeats that another writer may send in the name of a worker, or
 * that are delayed.
 */
class gpSoakHeartbeats
{
public:
  /// aState is what the worker's stand-in shows; its field "heartbeat" has the
  /// last heartbeat, and "id" its ID.
  explicit gpSoakHeartbeats(const std::string& aState);

  /// A heartbeat of an incarnation that doesn't exist, an odd one, one of the
  /// present incarnation out of its order, or a DELETE; aKind is taken modulo
  /// their number. Not set if the worker has sent no heartbeat.
  std::optional<gpHttpRequest> MakeForeign(std::size_t aKind) const;

private:
  std::string id_;
  boost::json::object heartbeat_;
};
