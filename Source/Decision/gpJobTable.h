#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "gpIds.h"
#include "gpJob.h"
#include "gpTime.h"

/** \class gpJobTable
 * \brief The jobs of an entry, by ID, key, request and deadline.
 *
 * Ended jobs with a key are kept for a retention period, so that a resubmission
 * gets the same answer without a message to the replicas.
 */
class gpJobTable
{
public:
  explicit gpJobTable(gpIncarnation aSelf);

  /// Adds a job under a new ID. FindByKey finds it only if aByKey is set.
  gpJob& Add(gpJob aJob, bool aByKey);
  /// Moves a job to a new ID, so that its next claim can't be confused with an
  /// earlier one. References to the job become invalid.
  gpJob& Renew(gpJob& aJob);
  void Erase(const gpJobId& aJob);

  gpJob* Find(const gpJobId& aJob);
  gpJob* FindByKey(const gpServiceKey& aKey);
  gpJob* FindByRequest(gpRequestId aRequest);
  void AddRequest(gpJob& aJob, gpRequestId aRequest);
  /// Removes a request; its job stays.
  void RemoveRequest(gpRequestId aRequest);
  /// Removes all requests from a job and returns them.
  std::vector<gpRequestId> TakeRequests(gpJob& aJob);

  /// Marks the job as ended and keeps it for FindByKey until aKeepUntil, or for
  /// less time if too many ended jobs are kept.
  void End(gpJob& aJob, gpTime aKeepUntil);
  /// Jobs whose deadline has passed. Each job is returned only once.
  std::vector<gpJobId> TakePastDeadline(gpTime aNow);
  /// The next deadline; gpTime::max() if there is none.
  gpTime GetNextDeadline() const;
  void Evict(gpTime aNow);

  /// Jobs that have not ended.
  std::size_t CountOpen() const { return deadlines_.size(); }
  std::vector<gpJobId> ListOpen() const;

private:
  struct Ended
  {
    gpTime until_;
    gpJobId job_;
  };

  gpIncarnation self_;
  std::uint64_t lastSequence_ = 0;
  /// A node-based map, so that references to jobs stay valid.
  std::map<gpJobId, gpJob> jobs_;
  absl::flat_hash_map<gpServiceKey, gpJobId> byKey_;
  absl::flat_hash_map<gpRequestId, gpJobId> byRequest_;
  std::set<std::pair<gpTime, gpJobId>> deadlines_;
  std::deque<Ended> ended_;
};
