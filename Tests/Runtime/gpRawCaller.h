#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "gpIds.h"

class gpEventLoop;

/** \class gpRawCaller
 * \brief A TCP client connection over which a test sends arbitrary bytes.
 */
class gpRawCaller
{
public:
  /// Connects synchronously.
  gpRawCaller(gpEventLoop& aLoop, const gpAddress& aServer);
  ~gpRawCaller();
  gpRawCaller(const gpRawCaller&) = delete;
  gpRawCaller& operator=(const gpRawCaller&) = delete;

  void Send(const std::string& aBytes);
  void Close();
  /// Runs the loop until the received bytes end with aEnd or the connection has
  /// ended. Returns all bytes received since the last read.
  std::string ReadUntil(const std::string& aEnd);
  /// Runs the loop until the server has closed the connection. Returns all
  /// bytes received since the last read.
  std::string ReadToEnd();

private:
  struct Impl;
  gpEventLoop& loop_;
  std::shared_ptr<Impl> impl_;
};
