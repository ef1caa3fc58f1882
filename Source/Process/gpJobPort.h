#pragma once

#include <string>
#include <variant>

#include <absl/status/statusor.h>

#include "gpHttpMessage.h"
#include "gpLeaseJob.h"

/// A caller asks for the state of a job.
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

/// A caller asks how many jobs of a queue wait.
struct gpPendingCall
{
  std::string host_;
  std::string path_;
};

using gpJobCall =
  std::variant<gpLeaseJob, gpJobStateCall, gpJobCancelCall, gpPendingCall>;

/** \class gpJobPort
 * \brief How callers submit jobs and what they are told, on the wire.
 */
class gpJobPort
{
public:
  virtual ~gpJobPort() = default;

  /// Decodes a request of a caller; BadRequest if it can't be read, NotFound
  /// if it's no call of this interface, Unsupported if it asks for something
  /// that isn't built.
  virtual absl::StatusOr<gpJobCall> Parse(const gpHttpRequest& aHttp) const = 0;
  /// The response to a submission that has ended or was refused.
  virtual gpHttpResponse Render(const gpLeaseAnswer& aAnswer) const = 0;
  /// The response to a question for a job's state.
  virtual gpHttpResponse RenderState(bool aIsKnown) const = 0;
  /// The response to a cancel.
  virtual gpHttpResponse RenderCancelled(bool aWasKnown) const = 0;
  /// The response to a question for waiting jobs.
  virtual gpHttpResponse RenderPending(std::size_t aCount) const = 0;
  /// The response to a request that Parse did not take.
  virtual gpHttpResponse RenderError(const absl::Status& aError) const = 0;
};
