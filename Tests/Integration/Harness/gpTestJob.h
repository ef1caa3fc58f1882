#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpHttpClient.h"
#include "gpTime.h"

/** \class gpTestTask
 * \brief A task of a job, as a test submits it for stand-in targets.
 */
struct gpTestTask
{
  std::string path_ = "/v1/hold";
  std::string body_{};
  bool idempotent_ = false;
};

/** \class gpTestJob
 * \brief A job, as a test submits it.
 */
struct gpTestJob
{
  std::string service_ = "pond-order";
  std::string team_ = "garden-center-7";
  /// Idempotency key; empty: none is sent.
  std::string key_{};
  gpMillis deadline_{ 10000 };
  std::vector<gpTestTask> tasks_{};
};

/** \class gpTestAnswer
 * \brief The answer to a job, as the caller receives it.
 */
struct gpTestAnswer
{
  /// HTTP status; 0 if there was no answer.
  int status_ = 0;
  /// "complete", "not_run", "failed" or "unknown".
  std::string outcome_;
  /// Failure code; empty if the job is complete.
  std::string code_;
  /// Bodies of the results, in task order.
  std::vector<std::string> results_;
  std::vector<std::uint32_t> mayHaveRun_;
  std::optional<std::uint32_t> retryAfterMs_;
};

/// A task that runs for aRunTime at a stand-in target, which then returns
/// aAnswer, or "<submission>/<task>" if that is empty.
gpTestTask
gpMakeTestTask(gpMillis aRunTime, const std::string& aAnswer = "");

/// The request (POST /v1/jobs) that submits the job.
gpHttpRequest
gpJobRequest(const gpTestJob& aJob);

gpTestAnswer
gpReadAnswer(const gpHttpReply& aReply);
