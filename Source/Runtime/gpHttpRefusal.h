#pragma once

#include "gpHttpMessage.h"

/// Why the server rejects a request without passing it to the request handler.
enum class gpHttpRefusal
{
  Malformed,          ///< 400: the bytes are not a valid HTTP request
  TooSlow,            ///< 408: the request did not arrive in time
  BodyTooLarge,       ///< 413: the body is over the limit
  HeaderTooLarge,     ///< 431: the header is over the limit
  TooManyConnections, ///< 503: the caller may try again later
  TooMuchMemory,      ///< 503: the same; all requests together take too much
};

/// The response to a rejected request: the problem document that
/// docs/http-api.md specifies. Its outcome is always "not_run".
gpHttpResponse
gpRefuseRequest(gpHttpRefusal aRefusal);
