#pragma once

#include <map>
#include <string>

/** \class gpHttpRequest
 * \brief An HTTP request, received or to be sent.
 */
struct gpHttpRequest
{
  /// Such as "GET", "POST" or "DELETE".
  std::string method_ = "GET";
  /// Path and query, such as "/v1/jobs/pond-order/k1?wait_ms=5".
  std::string target_;
  /// Names in lower case.
  std::map<std::string, std::string> headers_;
  std::string body_;
};

/** \class gpHttpResponse
 * \brief An HTTP response, received or to be sent.
 */
struct gpHttpResponse
{
  int status_ = 200;
  std::string contentType_ = "application/json";
  /// Headers other than Content-Type, names in lower case.
  std::map<std::string, std::string> headers_;
  std::string body_;
};
