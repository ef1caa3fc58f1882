#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "gpFrameCheck.h"

/// The entry point that libFuzzer calls with each input; aborts on a fault.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const gpFrameCheckResult result = gpCheckFrame(bytes);
  if (result != gpFrameCheckResult::Decoded &&
      result != gpFrameCheckResult::Refused) {
    std::abort();
  }
  return 0;
}
