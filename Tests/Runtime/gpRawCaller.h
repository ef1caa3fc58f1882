#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "gpIds.h"

class gpEventLoop;

/** \class gpRawCaller
 * \brief A TCP connection over which a test sends any bytes.
 */
class gpRawCaller
{
public:
  /// Connects at once.
  gpRawCaller(gpEventLoop& aLoop, const gpAddress& aServer);
  ~gpRawCaller();
  gpRawCaller(const gpRawCaller&) = delete;
  gpRawCaller& operator=(const gpRawCaller&) = delete;

  void Send(const std::string& aBytes);
  void Close();
  /// Runs the loop until the received bytes end in aEnd; returns them all and
  /// forgets them.
  std::string ReadUntil(const std::string& aEnd);
  /// Runs the loop until the server has closed; returns what was left.
  std::string ReadToEnd();

private:
  struct Impl;
  gpEventLoop& loop_;
  std::shared_ptr<Impl> impl_;
};
