#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpHttpClient.h"
#include "gpTime.h"

/** \class gpTestTask
 * \brief One task of a job, as a test submits it to stand-in targets.
 */
struct gpTestTask
{
  std::string path_ = "/v1/hold";
  std::string body_{};
  bool idempotent_ = false;
};

/** \class gpTestJob
 * \brief One job, as a test submits it.
 */
struct gpTestJob
{
  std::string service_ = "pond-order";
  std::string team_ = "garden-center-7";
  /// Without a key, if empty.
  std::string key_{};
  gpMillis deadline_{ 10000 };
  std::vector<gpTestTask> tasks_{};
};

/** \class gpTestAnswer
 * \brief The answer to a job, as the caller sees it.
 */
struct gpTestAnswer
{
  /// HTTP status; 0 if there was no answer at all.
  int status_ = 0;
  /// "complete", "not_run", "failed" or "unknown".
  std::string outcome_;
  /// Name of the failure; empty if complete.
  std::string code_;
  /// Bodies of the results, in the order of the tasks.
  std::vector<std::string> results_;
  std::vector<std::uint32_t> mayHaveRun_;
  std::optional<std::uint32_t> retryAfterMs_;
};

/// A task that runs so long at a stand-in target, and then answers the text;
/// without a text, "<submission>/<task>".
gpTestTask
gpMakeTestTask(gpMillis aRunTime, const std::string& aAnswer = "");

/// The POST /v1/jobs of a job.
gpHttpRequest
gpJobRequest(const gpTestJob& aJob);

gpTestAnswer
gpReadAnswer(const gpHttpReply& aReply);
