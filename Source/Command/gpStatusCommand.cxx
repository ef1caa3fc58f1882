#include "gpStatusCommand.h"

#include <set>

#include "gpBlockingNetwork.h"
#include "gpError.h"
#include "gpProcessStatus.h"

namespace {

namespace po = boost::program_options;

using Addresses = std::vector<gpAddress>;

/// Timeout of the requests, which are sent to all processes at once.
constexpr gpMillis kTimeout{ 2000 };
constexpr int kOk = 200;

absl::StatusOr<gpProcessStatus>
ToStatus(const gpHttpReply& aReply)
{
  if (!aReply.response_.ok()) {
    return aReply.response_.status();
  }
  if (aReply.response_->status_ != kOk) {
    return gpMakeError(gpErrorCode::HttpFailure,
                       "HTTP status " +
                         std::to_string(aReply.response_->status_));
  }
  return gpParseProcessStatus(aReply.response_->body_);
}

void
Print(const gpProcessStatus& aStatus, std::ostream& aOut)
{
  aOut << "version " << aStatus.version_.value_ << " apply "
       << (aStatus.applyId_.value_.empty() ? "-" : aStatus.applyId_.value_)
       << " roster " << aStatus.rosterEpoch_ << " log "
       << (aStatus.logAvailable_ ? "up" : "down") << " " << aStatus.role_ << " "
       << aStatus.process_ << "\n";
}

std::vector<gpHttpReply>
AskAll(const Addresses& aAddresses)
{
  std::vector<gpServerRequest> requests;
  for (const gpAddress& address : aAddresses) {
    requests.push_back({ address, { "GET", "/v1/status", {}, {} } });
  }
  gpBlockingNetwork network;
  return network.CallAll(requests, kTimeout);
}

} // namespace

void
gpStatusCommand::AddOptions(gpCommandOptions& aOptions) const
{
  aOptions.named_.add_options()(
    "at",
    po::value<Addresses>()->required()->multitoken()->value_name("IP:PORT"),
    "HTTP address of a process; may be given several times");
}

gpExitCode
gpStatusCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  const auto& addresses = aValues["at"].as<Addresses>();
  const std::vector<gpHttpReply> replies = AskAll(addresses);
  std::set<std::pair<gpConfigVersion, gpApplyId>> versions;
  bool allAnswered = true;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    aConsole.out_ << addresses[i].value_ << " ";
    const absl::StatusOr<gpProcessStatus> status = ToStatus(replies[i]);
    if (status.ok()) {
      Print(*status, aConsole.out_);
      versions.emplace(status->version_, status->applyId_);
    } else {
      aConsole.out_ << "no valid answer: " << gpErrorText(status.status())
                    << "\n";
      allAnswered = false;
    }
  }
  if (versions.size() > 1) {
    return Fail(aConsole, "the processes have different versions in force");
  }
  return allAnswered ? gpExitCode::Success
                     : Fail(aConsole, "not all processes sent their status");
}
