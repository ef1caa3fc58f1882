#pragma once

#include <map>
#include <string>

/** \class gpHttpRequest
 * \brief One HTTP request, received or to be sent.
 */
struct gpHttpRequest
{
  /// "GET", "POST", "DELETE" and so on.
  std::string method_ = "GET";
  /// Path with query, such as "/v1/jobs/pond-order/k1?wait_ms=5".
  std::string target_;
  /// Names in lower case.
  std::map<std::string, std::string> headers_;
  std::string body_;
};

/** \class gpHttpResponse
 * \brief One HTTP response, received or to be sent.
 */
struct gpHttpResponse
{
  int status_ = 200;
  std::string contentType_ = "application/json";
  /// Further headers, names in lower case.
  std::map<std::string, std::string> headers_;
  std::string body_;
};
