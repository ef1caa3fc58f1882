#pragma once

#include <string>
#include <variant>

#include <absl/status/statusor.h>

#include "gpHttpMessage.h"
#include "gpLeaseJob.h"

/// A caller queries the state of a job.
struct gpJobStateCall
{
  std::string host_;
  std::string path_;
  std::string id_;
};

/// A caller cancels a job.
struct gpJobCancelCall
{
  std::string host_;
  std::string path_;
  std::string id_;
};

/// A caller queries the number of jobs that wait in a queue.
struct gpPendingCall
{
  std::string host_;
  std::string path_;
};

using gpJobCall =
  std::variant<gpLeaseJob, gpJobStateCall, gpJobCancelCall, gpPendingCall>;

/** \class gpJobPort
 * \brief Decodes the HTTP requests of callers and encodes the responses.
 * Implemented by the adapter to the customer's platform.
 */
class gpJobPort
{
public:
  virtual ~gpJobPort() = default;

  /// Decodes a request of a caller. The error is BadRequest if its content is
  /// invalid, NotFound if path or method aren't part of the interface, and
  /// Unsupported if it uses a feature that isn't implemented.
  virtual absl::StatusOr<gpJobCall> Parse(const gpHttpRequest& aHttp) const = 0;
  /// The response to a submission whose job has ended or was refused.
  virtual gpHttpResponse Render(const gpLeaseAnswer& aAnswer) const = 0;
  /// The response to a gpJobStateCall; aIsKnown: the entry has the job.
  virtual gpHttpResponse RenderState(bool aIsKnown) const = 0;
  /// The response to a gpJobCancelCall; aWasKnown: the entry had the job.
  virtual gpHttpResponse RenderCancelled(bool aWasKnown) const = 0;
  /// The response to a gpPendingCall.
  virtual gpHttpResponse RenderPending(std::size_t aCount) const = 0;
  /// The response to a request that Parse rejected with this error.
  virtual gpHttpResponse RenderError(const absl::Status& aError) const = 0;
};
