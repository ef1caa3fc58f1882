#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gpDigest.h"
#include "gpIds.h"
#include "gpTime.h"

/** \class gpTaskRequest
 * \brief One task of a caller's submission.
 */
struct gpTaskRequest
{
  /// Path of the target's HTTP operation, such as "/v1/hold".
  std::string path_;
  std::string body_;
  bool idempotent_ = false;
  /// A hint: bytes that the caller expects the task to transfer.
  std::optional<std::uint64_t> declaredSize_;
  /// A hint: run time that the caller expects.
  std::optional<gpMillis> declaredRunTime_;
};

/** \class gpSubmission
 * \brief One job as a caller submits it.
 */
struct gpSubmission
{
  gpServiceName service_;
  gpTeamName team_;
  std::optional<gpSubmissionKey> key_;
  /// The job must be answered within this time after its arrival at the entry;
  /// 0 for the default of the service.
  gpMillis deadline_{ 0 };
  std::vector<gpTaskRequest> tasks_;
  /// Digest of the whole body; all submissions with the same key must have the
  /// same digest.
  gpDigest digest_;
};
