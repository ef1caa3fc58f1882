#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

/** \brief Code of an error inside the system. Each absl::Status that a function
 * of the project returns carries one.
 */
enum class gpErrorCode
{
  None,
  BadArgument,      ///< invalid command line argument
  BadSettings,      ///< invalid settings file of a process
  BadConfiguration, ///< invalid configuration file
  BadRequest,       ///< invalid request of a caller
  Unsupported,      ///< request for a feature that isn't implemented
  BadFrame,         ///< received bytes that are no valid frame
  BadRecord,        ///< a record of the log or store can't be decoded
  FrameTooLarge,    ///< a frame over the size limit
  FrameOutOfOrder,  ///< a frame was repeated or is missing
  ProtocolMismatch, ///< the peer uses another protocol version
  ReplayedLink,     ///< frames of another connection, replayed on this one
  ConnectRefused,   ///< no process listens at the address
  ConnectTimeout,   ///< connection attempt timed out
  LinkClosed,       ///< the peer closed or reset the connection
  LinkSilent,       ///< no bytes from the peer within the silence limit
  SendBufferFull,   ///< the peer reads too slowly
  LinkMemoryFull,   ///< all links together buffer too much, this one the most
  HttpFailure,      ///< an HTTP exchange was interrupted
  HttpTimeout,      ///< an HTTP exchange timed out
  LogUnavailable,   ///< the log service or store doesn't answer
  VersionConflict,  ///< a configuration based on a version not in force
  NotFound,         ///< the requested item doesn't exist
  Io,               ///< a file or socket operation failed
  Internal,         ///< an invariant of the program was violated
};

/// The name of a code as it appears in logs, such as "connect_refused".
std::string_view
gpErrorName(gpErrorCode aCode);

/// A status with this code and a human-readable detail.
absl::Status
gpMakeError(gpErrorCode aCode, const std::string& aDetail);

/// The code of a status made by gpMakeError; None if the status is ok, Internal
/// if it was made otherwise.
gpErrorCode
gpErrorCodeOf(const absl::Status& aStatus);

/// The human-readable detail of a status.
std::string
gpErrorText(const absl::Status& aStatus);
