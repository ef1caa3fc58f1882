#include "gpFrameCheck.h"

#include "gpError.h"
#include "gpFrameCodec.h"

gpFrameCheckResult
gpCheckFrame(std::string_view aBytes)
{
  const absl::StatusOr<gpFrame> frame = gpFrameCodec::DecodeFrame(aBytes);
  if (!frame.ok()) {
    return gpErrorCodeOf(frame.status()) == gpErrorCode::BadFrame
             ? gpFrameCheckResult::Refused
             : gpFrameCheckResult::WrongError;
  }
  const absl::StatusOr<gpFrame> again =
    gpFrameCodec::DecodeFrame(gpFrameCodec::EncodeFrame(*frame));
  return again.ok() && *again == *frame ? gpFrameCheckResult::Decoded
                                        : gpFrameCheckResult::Changed;
}
