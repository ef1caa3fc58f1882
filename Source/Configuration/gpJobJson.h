#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpAnswer.h"
#include "gpSubmission.h"

/** \class gpRenderedAnswer
 * \brief An answer as HTTP carries it; see docs/http-api.md.
 */
struct gpRenderedAnswer
{
  int status_ = 200;
  std::string contentType_;
  /// Further headers, names in lower case.
  std::map<std::string, std::string> headers_;
  std::string body_;

  bool operator==(const gpRenderedAnswer&) const = default;
};

/// Faults of a request that never become a job.
enum class gpRequestFault
{
  BadRequest,
  RequestTooLarge,
};

/// Parses the body of POST /v1/jobs. The key is the value of the header
/// Idempotency-Key. The status is BadRequest and holds all faults.
absl::StatusOr<gpSubmission>
gpParseSubmission(std::string_view aBody,
                  const std::optional<std::string>& aKey);

/// Whether a text can be a submission key: 1 to 200 visible ASCII characters.
bool
gpIsSubmissionKey(std::string_view aText);

gpRenderedAnswer
gpRenderAnswer(const gpAnswer& aAnswer);

/// The answer to a request that is refused before it becomes a job.
gpRenderedAnswer
gpRenderFault(gpRequestFault aFault, const std::string& aDetail);

/// Parses the body of an answer. BadRequest if the answer says that the
/// request had faults, HttpFailure if the body is no answer.
absl::StatusOr<gpAnswer>
gpParseAnswer(std::string_view aBody);
