#pragma once

#include <string_view>

/// What the decoder said of some bytes.
enum class gpFrameCheckResult
{
  Decoded,    ///< a frame, which survives another round trip
  Refused,    ///< no frame, and the error is a BadFrame
  WrongError, ///< an error of another type
  Changed,    ///< encoded again and decoded, the frame is another one
};

/// Decodes any bytes as a frame. The first two results are right.
gpFrameCheckResult
gpCheckFrame(std::string_view aBytes);
