#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

/** \brief Why something failed. Every failure of the project has one of these.
 */
enum class gpErrorCode
{
  None,
  BadArgument,      ///< a command line argument
  BadSettings,      ///< a settings file of a process
  BadConfiguration, ///< a configuration file
  BadRequest,       ///< a caller's request
  Unsupported,      ///< a request for something that isn't built
  BadFrame,         ///< bytes of a peer that are no frame
  BadRecord,        ///< a record of the log that can't be read
  FrameTooLarge,    ///< a frame over the size limit
  FrameOutOfOrder,  ///< a frame sent twice, or one missing
  ProtocolMismatch, ///< a peer that speaks another version
  ReplayedLink,     ///< a connection whose bytes belong to another one
  ConnectRefused,   ///< nobody listens at the address
  ConnectTimeout,   ///< no answer to a connection attempt in time
  LinkClosed,       ///< the peer closed or reset the connection
  LinkSilent,       ///< nothing heard of the peer in time
  SendBufferFull,   ///< a peer that takes its bytes too slowly
  HttpFailure,      ///< an HTTP exchange that broke off
  HttpTimeout,      ///< an HTTP exchange that took too long
  LogUnavailable,   ///< the log service doesn't answer
  VersionConflict,  ///< a configuration made from an older version
  NotFound,         ///< what was asked for doesn't exist
  Io,               ///< a file or socket operation
  Internal,         ///< a broken assumption of the program
};

/// The name of a code as it appears in logs, such as "connect_refused".
std::string_view
gpErrorName(gpErrorCode aCode);

/// A status that carries a code and a text for people.
absl::Status
gpMakeError(gpErrorCode aCode, const std::string& aDetail);

/// The code of a status made by gpMakeError; None if ok, Internal otherwise.
gpErrorCode
gpErrorCodeOf(const absl::Status& aStatus);

/// The text of a status as std::string.
std::string
gpErrorText(const absl::Status& aStatus);
