#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpIds.h"
#include "gpQueueTable.h"
#include "gpTime.h"

/// What the store keeps for the system.
enum class gpStoreTopic
{
  Configuration, ///< the operator's; read only
  Entries,       ///< where the entries can be reached
};

/** \class gpStoreRecord
 * \brief The newest value under a key.
 */
struct gpStoreRecord
{
  std::string key_;
  /// Empty if the key was dropped.
  std::string value_;
};

/** \class gpStorePage
 * \brief What one read of a topic returned.
 */
struct gpStorePage
{
  std::vector<gpStoreRecord> records_;
  /// Where to read on.
  gpLogOffset next_;
};

/** \class gpStorePort
 * \brief The store in which the platform keeps what must last.
 *
 * Failures are LogUnavailable (no answer, or the store refuses calls), NotFound
 * (the records asked for have been deleted) and BadRecord.
 */
class gpStorePort
{
public:
  using Handler = std::function<void(absl::StatusOr<gpStorePage>)>;

  virtual ~gpStorePort() = default;

  /// The newest record of each key, and where later ones begin.
  virtual void ReadNewest(gpStoreTopic aTopic, Handler aHandler) = 0;
  /// Records from the offset on; waits for one for that time at most.
  virtual void ReadFrom(gpStoreTopic aTopic,
                        gpLogOffset aFrom,
                        gpMillis aWait,
                        Handler aHandler) = 0;
  virtual void Write(gpStoreTopic aTopic,
                     const gpStoreRecord& aRecord,
                     std::function<void(absl::Status)> aHandler) = 0;
  /// Whether a record of the configuration topic holds the queues.
  virtual bool HoldsQueues(const gpStoreRecord& aRecord) const = 0;
  /// Decodes the value of such a record; BadConfiguration if it can't be read.
  virtual absl::StatusOr<gpQueueTable> ParseQueues(
    const std::string& aValue) const = 0;
};
