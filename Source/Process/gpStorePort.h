#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpIds.h"
#include "gpQueueTable.h"
#include "gpTime.h"

/// The topics of the store that the system uses.
enum class gpStoreTopic
{
  Configuration, ///< the operator's configuration; only read by the system
  Entries,       ///< addresses of the entries, written by each entry
  Targets,       ///< last known announcements, written by each target's guard
};

/** \class gpStoreRecord
 * \brief A key with its value at the time of the write.
 */
struct gpStoreRecord
{
  std::string key_;
  /// Empty if the key was deleted.
  std::string value_;
};

/** \class gpStorePage
 * \brief The result of one read of a topic.
 */
struct gpStorePage
{
  std::vector<gpStoreRecord> records_;
  /// The errors (BadRecord) of records that can't be read; the others hold.
  std::vector<absl::Status> faults_;
  /// Offset at which the next read starts.
  gpLogOffset next_;
};

/** \class gpStorePort
 * \brief Client of the platform's metadata store for persistent records.
 * Implemented by the adapter to the customer's platform.
 *
 * Error codes are LogUnavailable (no answer, or the store refuses calls),
 * NotFound (the requested records have been deleted) and BadRecord.
 */
class gpStorePort
{
public:
  using Handler = std::function<void(absl::StatusOr<gpStorePage>)>;
  using RecordHandler = std::function<void(absl::StatusOr<gpStoreRecord>)>;

  virtual ~gpStorePort() = default;

  /// Reads the newest record of each key, and the offset of later records.
  virtual void ReadNewest(gpStoreTopic aTopic, Handler aHandler) = 0;
  /// Reads the newest record of one key; NotFound if there is none.
  virtual void ReadKey(gpStoreTopic aTopic,
                       const std::string& aKey,
                       RecordHandler aHandler) = 0;
  /// Reads the records from an offset on. If there is none yet, waits for one,
  /// but not longer than aWait.
  virtual void ReadFrom(gpStoreTopic aTopic,
                        gpLogOffset aFrom,
                        gpMillis aWait,
                        Handler aHandler) = 0;
  virtual void Write(gpStoreTopic aTopic,
                     const gpStoreRecord& aRecord,
                     std::function<void(absl::Status)> aHandler) = 0;
  /// Whether a record of the configuration topic contains the queues.
  virtual bool HoldsQueues(const gpStoreRecord& aRecord) const = 0;
  /// Decodes the value of such a record. The error is BadConfiguration if it's
  /// invalid.
  virtual absl::StatusOr<gpQueueTable> ParseQueues(
    const std::string& aValue) const = 0;
};
