#pragma once

#include "gpHttpMessage.h"

/// Why a server answers a request itself, without its request handler.
enum class gpHttpRefusal
{
  Malformed,          ///< 400: the bytes are no HTTP request
  TooSlow,            ///< 408: the request didn't arrive in time
  BodyTooLarge,       ///< 413
  HeaderTooLarge,     ///< 431
  TooManyConnections, ///< 503: the caller may come back
};

/// The answer, as docs/http-api.md has it; its outcome is always "not_run".
gpHttpResponse
gpRefuseRequest(gpHttpRefusal aRefusal);
