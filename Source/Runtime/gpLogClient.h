#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpIds.h"
#include "gpTime.h"

class gpEventLoop;
class gpHttpClient;
class gpTimerService;

/** \class gpLogRecord
 * \brief A record of a stream of the log service.
 */
struct gpLogRecord
{
  gpLogOffset offset_;
  std::string data_;
};

/** \class gpLogBatch
 * \brief The result of one read of a stream.
 */
struct gpLogBatch
{
  /// Offset of the oldest record that the service still keeps.
  gpLogOffset earliest_;
  /// Offset that the next appended record will get.
  gpLogOffset next_;
  /// In ascending order of offsets, not necessarily consecutive.
  std::vector<gpLogRecord> records_;
};

/** \class gpLogClient
 * \brief Client of the platform's log service: appends to and reads streams.
 */
class gpLogClient
{
public:
  /// aService is the address of the log service.
  gpLogClient(gpEventLoop& aLoop,
              gpTimerService& aTimers,
              gpHttpClient& aHttp,
              gpAddress aService);
  ~gpLogClient();

  /// Appends a record, without retries; returns its offset. After the error
  /// ConnectRefused the record has not been written; after LogUnavailable, or
  /// BadRecord as for Read, it is unknown whether it has.
  void Append(const std::string& aStream,
              std::string aData,
              gpMillis aTimeout,
              std::function<void(absl::StatusOr<gpLogOffset>)> aHandler);
  /// Reads once; the service waits up to aWait for a record at aFrom or later.
  /// Fails with LogUnavailable, ConnectRefused, or BadRecord if the response
  /// does not have the form that docs/log-service.md specifies.
  void Read(const std::string& aStream,
            gpLogOffset aFrom,
            gpMillis aWait,
            std::function<void(absl::StatusOr<gpLogBatch>)> aHandler);
  /// Reads continuously from aFrom, until this object is destroyed. aBatch gets
  /// each batch with records, and the first batch even if it is empty. aHealth
  /// is called after the first read, and when reads begin to fail or to succeed
  /// again. aContact is called after each successful read. After a failed read
  /// the next one is delayed, from 200 ms up to 2 s after repeated failures.
  void Follow(const std::string& aStream,
              gpLogOffset aFrom,
              std::function<void(const gpLogBatch&)> aBatch,
              std::function<void(const absl::Status&)> aHealth,
              std::function<void()> aContact = {});

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
