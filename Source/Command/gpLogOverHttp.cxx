#include "gpLogOverHttp.h"

#include "gpBlockingNetwork.h"

namespace {

constexpr const char* kStream = "configuration";
constexpr gpMillis kAppendTimeout{ 3000 };

} // namespace

gpLogOverHttp::gpLogOverHttp(gpBlockingNetwork& aNetwork,
                             const gpAddress& aService)
  : network_(aNetwork)
  , client_(aNetwork.GetLoop(),
            aNetwork.GetTimers(),
            aNetwork.GetHttp(),
            aService)
{
}

absl::StatusOr<gpLogOffset>
gpLogOverHttp::Append(const std::string& aData)
{
  return network_.Await<absl::StatusOr<gpLogOffset>>(
    [&](auto aDone) { client_.Append(kStream, aData, kAppendTimeout, aDone); });
}

absl::StatusOr<gpLogBatch>
gpLogOverHttp::Read(gpLogOffset aFrom)
{
  return network_.Await<absl::StatusOr<gpLogBatch>>(
    [&](auto aDone) { client_.Read(kStream, aFrom, gpMillis(0), aDone); });
}

void
gpLogOverHttp::Pause(gpMillis aTime)
{
  network_.Pause(aTime);
}
