#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gpDigest.h"
#include "gpIds.h"
#include "gpTime.h"

/** \class gpTaskRequest
 * \brief One task as a caller asks for it.
 */
struct gpTaskRequest
{
  /// Path of the target's HTTP operation, such as "/v1/hold".
  std::string path_;
  std::string body_;
  bool idempotent_ = false;
  /// Bytes the caller expects the task to move; a hint.
  std::optional<std::uint64_t> declaredSize_;
  /// Run time the caller expects; a hint.
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
  /// Time from the arrival at the entry within which the answer must be given;
  /// 0 for the service's default.
  gpMillis deadline_{ 0 };
  std::vector<gpTaskRequest> tasks_;
  /// Digest of the whole body; two submissions with one key must agree on it.
  gpDigest digest_;
};
