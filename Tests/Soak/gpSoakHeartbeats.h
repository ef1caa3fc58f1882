#pragma once

#include <string>
#include <vector>

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

  /// Some heartbeats of an incarnation that doesn't exist, odd ones among them,
  /// and of the present one out of its order. Empty if the worker has sent
  /// none.
  std::vector<gpHttpRequest> MakeForeign() const;

private:
  std::string id_;
  boost::json::object heartbeat_;
};
