#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "gpLogClient.h"
#include "gpTime.h"

/** \class gpLogAccess
 * \brief Interface for blocking calls to the stream `configuration` of the log
 * service.
 */
class gpLogAccess
{
public:
  gpLogAccess() = default;
  virtual ~gpLogAccess() = default;
  gpLogAccess(const gpLogAccess&) = delete;
  gpLogAccess& operator=(const gpLogAccess&) = delete;

  /// Appends a record; see gpLogClient::Append.
  virtual absl::StatusOr<gpLogOffset> Append(const std::string& aData) = 0;
  /// Reads records from an offset on, without waiting for new ones; see
  /// gpLogClient::Read.
  virtual absl::StatusOr<gpLogBatch> Read(gpLogOffset aFrom) = 0;
  /// Blocks for this time.
  virtual void Pause(gpMillis aTime) = 0;
};
