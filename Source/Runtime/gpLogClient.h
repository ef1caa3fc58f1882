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
 * \brief One record of a stream of the log service.
 */
struct gpLogRecord
{
  gpLogOffset offset_;
  std::string data_;
};

/** \class gpLogBatch
 * \brief What one read of a stream gave.
 */
struct gpLogBatch
{
  /// The oldest offset that the service still keeps.
  gpLogOffset earliest_;
  /// The offset that the next record will get.
  gpLogOffset next_;
  std::vector<gpLogRecord> records_;
};

/** \class gpLogClient
 * \brief Appends to and reads streams of the platform's log service.
 */
class gpLogClient
{
public:
  gpLogClient(gpEventLoop& aLoop,
              gpTimerService& aTimers,
              gpHttpClient& aHttp,
              gpAddress aService);
  ~gpLogClient();

  /// Appends once. A failure doesn't tell whether the record was written,
  /// unless the code is ConnectRefused. Otherwise it is LogUnavailable, or
  /// BadRecord as for a read.
  void Append(const std::string& aStream,
              std::string aData,
              gpMillis aTimeout,
              std::function<void(absl::StatusOr<gpLogOffset>)> aHandler);
  /// One read; waits up to aWait for a record at aFrom or later. The error is
  /// LogUnavailable, ConnectRefused, or BadRecord if the answer isn't of the
  /// form of docs/log-service.md.
  void Read(const std::string& aStream,
            gpLogOffset aFrom,
            gpMillis aWait,
            std::function<void(absl::StatusOr<gpLogBatch>)> aHandler);
  /// Reads on and on, from aFrom. The handler gets each batch that holds
  /// records, and also the first one if it's empty. The health handler is
  /// called when the service goes from answering to not answering or back, and
  /// after the first read, whatever it gave. A failure is followed by a pause,
  /// which grows from 200 ms to 2 s.
  void Follow(const std::string& aStream,
              gpLogOffset aFrom,
              std::function<void(const gpLogBatch&)> aBatch,
              std::function<void(const absl::Status&)> aHealth,
              std::function<void()> aContact = {});

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
