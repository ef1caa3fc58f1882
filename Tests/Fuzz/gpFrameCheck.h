#pragma once

#include <string_view>

/// The result of decoding some bytes.
enum class gpFrameCheckResult
{
  Decoded,    ///< a frame, which is the same after encoding and decoding it
  Refused,    ///< rejected with BadFrame
  WrongError, ///< rejected with another error
  Changed,    ///< a frame, which differs after encoding and decoding it
};

/// Decodes arbitrary bytes as a frame. Decoded and Refused are the results that
/// the decoder may give; the others are faults.
gpFrameCheckResult
gpCheckFrame(std::string_view aBytes);
