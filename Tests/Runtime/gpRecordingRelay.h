#pragma once

#include <memory>
#include <string>

#include "gpEventLoop.h"
#include "gpIds.h"

/** \class gpRecordingRelay
 * \brief Forwards one connection to a server and records the bytes of both
 * directions.
 */
class gpRecordingRelay
{
public:
  gpRecordingRelay(gpEventLoop& aLoop, const gpAddress& aServer);
  ~gpRecordingRelay();
  gpRecordingRelay(const gpRecordingRelay&) = delete;
  gpRecordingRelay& operator=(const gpRecordingRelay&) = delete;

  /// The address to which the dialing side must connect.
  gpAddress GetAddress() const;
  const std::string& GetDialerBytes() const;
  const std::string& GetServerBytes() const;
  /// Closes both connections.
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
