#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "gpAnswer.h"
#include "gpSubmission.h"

/** \class gpRenderedAnswer
 * \brief The answer of a job as an HTTP response; see docs/http-api.md.
 */
struct gpRenderedAnswer
{
  int status_ = 200;
  std::string contentType_;
  /// Headers other than the content type; names in lower case.
  std::map<std::string, std::string> headers_;
  std::string body_;

  bool operator==(const gpRenderedAnswer&) const = default;
};

/// Errors for which a request is rejected before a job is created.
enum class gpRequestFault
{
  BadRequest,
  RequestTooLarge,
};

/// Parses the body of POST /v1/jobs. The key is the value of the header
/// Idempotency-Key. If either is invalid, returns BadRequest with the
/// validation errors: the first 20, and the number of the others.
absl::StatusOr<gpSubmission>
gpParseSubmission(std::string_view aBody,
                  const std::optional<std::string>& aKey);

/// Whether a text is a valid submission key: 1 to 200 visible ASCII characters.
bool
gpIsSubmissionKey(std::string_view aText);

gpRenderedAnswer
gpRenderAnswer(const gpAnswer& aAnswer);

/// The response to a request that is rejected before a job is created.
gpRenderedAnswer
gpRenderFault(gpRequestFault aFault, const std::string& aDetail);

/// Parses the body of a response that gpRenderAnswer or gpRenderFault made.
/// Returns BadRequest for a response of gpRenderFault, and HttpFailure if the
/// body is neither.
absl::StatusOr<gpAnswer>
gpParseAnswer(std::string_view aBody);
