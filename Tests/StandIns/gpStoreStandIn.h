#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpTimerService.h"

/// How the store treats requests.
enum class gpStoreMode
{
  Serve,
  Refuse, ///< responds with 503
  Hang,   ///< does not respond
};

/** \class gpStoreStandIn
 * \brief In-memory implementation of the published API of the platform's
 * metadata store, for keyed topics with one partition.
 */
class gpStoreStandIn
{
public:
  gpStoreStandIn(gpEventLoop& aLoop, gpTimerService& aTimers);

  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  void SetMode(gpStoreMode aMode) { mode_ = aMode; }
  /// Appends a record, as an operator does through the API.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  /// Deletes all records of a topic. The newest value of each key stays
  /// readable.
  void Trim(const std::string& aTopic);
  std::uint64_t CountCalls() const { return calls_; }

private:
  struct Topic
  {
    /// Offset of the oldest record that is still stored.
    std::uint64_t first_ = 0;
    /// Records in the order of their offsets, which start at first_. Each has
    /// the length of its key in the first byte, then the key and the value.
    std::vector<std::string> records_;
    /// Newest value of each key.
    std::map<std::string, std::string> newest_;
    std::uint64_t End() const { return first_ + records_.size(); }
  };
  /// A read request that waits for a new record.
  struct Reader
  {
    gpRequestId request_;
    std::string topic_;
    std::uint64_t from_ = 0;
  };

  void OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp);
  void OnNewest(gpRequestId aRequest, const std::string& aTopic);
  void OnRead(gpRequestId aRequest, const std::string& aTarget);
  void OnAppend(gpRequestId aRequest,
                const std::string& aTopic,
                const std::string& aBody);
  void AnswerRead(const Reader& aReader);
  void AnswerWaitingReaders(const std::string& aTopic);

  gpTimerService& timers_;
  gpStoreMode mode_ = gpStoreMode::Serve;
  std::map<std::string, Topic> topics_;
  std::vector<Reader> readers_;
  std::uint64_t calls_ = 0;
  gpHttpServer server_;
};
