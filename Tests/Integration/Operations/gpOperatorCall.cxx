#include "gpOperatorCall.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace {

/// Long enough for a call to end by itself: it fails after some tries if the
/// log service doesn't answer.
constexpr gpMillis kCallTimeout(40000);

} // namespace

gpOperatorCall::gpOperatorCall(std::vector<std::string> aArguments)
  : folder_(std::make_unique<gpTestFolder>())
  , process_(std::make_unique<gpTestProcess>(
      gpTestCommand{ .name_ = "gypsumpoint",
                     .program_ = "gypsumpoint",
                     .arguments_ = std::move(aArguments),
                     .folder_ = folder_->Path(),
                     .eventLog_ = {} }))
{
  process_->Start();
}

gpOperatorResult
gpOperatorCall::Wait()
{
  gpOperatorResult result;
  result.exit_ = process_->WaitForExit(kCallTimeout).value_or(-1);
  result.out_ = Read("gypsumpoint.out");
  result.err_ = Read("gypsumpoint.err");
  return result;
}

std::string
gpOperatorCall::Read(const std::string& aFile) const
{
  std::ostringstream text;
  text << std::ifstream(folder_->Path() / aFile).rdbuf();
  return text.str();
}

gpOperatorResult
gpRunOperatorCall(std::vector<std::string> aArguments)
{
  return gpOperatorCall(std::move(aArguments)).Wait();
}

gpTestFile::gpTestFile(const std::string& aText)
{
  std::ofstream(Path()) << aText;
}
