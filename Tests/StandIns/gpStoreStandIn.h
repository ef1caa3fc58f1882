#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpTimerService.h"

/// What the store does with calls.
enum class gpStoreMode
{
  Serve,
  Refuse, ///< 503
  Hang,   ///< no answer
};

/** \class gpStoreStandIn
 * \brief The platform's metadata store with keyed topics of one partition, as
 * its published calls have it, in memory.
 */
class gpStoreStandIn
{
public:
  gpStoreStandIn(gpEventLoop& aLoop, gpTimerService& aTimers);

  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  void SetMode(gpStoreMode aMode) { mode_ = aMode; }
  /// Appends a record as an operator would.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  /// Deletes all records; the newest of each key stays readable.
  void Trim(const std::string& aTopic);
  std::uint64_t CountCalls() const { return calls_; }

private:
  struct Topic
  {
    std::uint64_t first_ = 0;
    /// Records with their keys, from first_ on.
    std::vector<std::string> records_;
    std::map<std::string, std::string> newest_;
    std::uint64_t End() const { return first_ + records_.size(); }
  };
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
  void WakeReaders(const std::string& aTopic);

  gpTimerService& timers_;
  gpStoreMode mode_ = gpStoreMode::Serve;
  std::map<std::string, Topic> topics_;
  std::vector<Reader> readers_;
  std::uint64_t calls_ = 0;
  gpHttpServer server_;
};
