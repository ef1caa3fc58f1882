#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "gpLogClient.h"
#include "gpTime.h"

/** \class gpLogAccess
 * \brief The stream `configuration` of the log service, with calls that wait
 * for their answer.
 */
class gpLogAccess
{
public:
  gpLogAccess() = default;
  virtual ~gpLogAccess() = default;
  gpLogAccess(const gpLogAccess&) = delete;
  gpLogAccess& operator=(const gpLogAccess&) = delete;

  /// As gpLogClient::Append.
  virtual absl::StatusOr<gpLogOffset> Append(const std::string& aData) = 0;
  /// As gpLogClient::Read, without waiting for a record.
  virtual absl::StatusOr<gpLogBatch> Read(gpLogOffset aFrom) = 0;
  virtual void Pause(gpMillis aTime) = 0;
};
