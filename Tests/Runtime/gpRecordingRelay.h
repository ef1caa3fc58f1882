#pragma once

#include <memory>
#include <string>

#include "gpEventLoop.h"
#include "gpIds.h"

/** \class gpRecordingRelay
 * \brief Passes one connection on to a server and keeps a copy of its bytes.
 */
class gpRecordingRelay
{
public:
  gpRecordingRelay(gpEventLoop& aLoop, const gpAddress& aServer);
  ~gpRecordingRelay();
  gpRecordingRelay(const gpRecordingRelay&) = delete;
  gpRecordingRelay& operator=(const gpRecordingRelay&) = delete;

  /// Where the dialing side is to connect.
  gpAddress GetAddress() const;
  const std::string& GetDialerBytes() const;
  const std::string& GetServerBytes() const;
  /// Closes both connections.
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
