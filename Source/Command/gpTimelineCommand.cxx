#include "gpTimelineCommand.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "gpEventLogFiles.h"

namespace {

namespace po = boost::program_options;

using Records = std::vector<gpTimelineRecord>;
using Names = std::vector<std::string>;

// Orders by Lamport time first. An effect then never comes before its cause,
// even if the wall clocks of two VMs differ.
bool
IsBefore(const gpTimelineRecord& aLeft, const gpTimelineRecord& aRight)
{
  return std::tie(aLeft.clock_, aLeft.time_, aLeft.process_) <
         std::tie(aRight.clock_, aRight.time_, aRight.process_);
}

bool
HasKey(const gpTimelineRecord& aRecord, const std::string& aKey)
{
  return aRecord.event_.key_ && aRecord.event_.key_->key_.value_ == aKey;
}

// The events that have the submission key, and all events of the jobs of those.
Records
FilterByKey(const Records& aRecords, const std::string& aKey)
{
  std::set<gpJobId> jobs;
  for (const gpTimelineRecord& record : aRecords) {
    if (HasKey(record, aKey) && record.event_.job_) {
      jobs.insert(*record.event_.job_);
    }
  }
  Records kept;
  std::copy_if(aRecords.begin(),
               aRecords.end(),
               std::back_inserter(kept),
               [&](const gpTimelineRecord& aRecord) {
                 const auto& job = aRecord.event_.job_;
                 return HasKey(aRecord, aKey) || (job && jobs.contains(*job));
               });
  return kept;
}

template<typename Value>
void
PrintField(const char* aName, const Value& aValue, std::ostream& aOut)
{
  aOut << " " << aName << "=" << aValue;
}

void
Print(const gpTimelineRecord& aRecord, std::ostream& aOut)
{
  const gpTimelineEvent& event = aRecord.event_;
  aOut << aRecord.time_ << " " << aRecord.clock_ << " " << aRecord.process_
       << " " << gpEventKindName(event.kind_);
  if (event.job_) {
    PrintField("job", gpJobIdText(*event.job_), aOut);
  }
  if (event.task_) {
    PrintField("task", event.task_->value_, aOut);
  }
  if (event.attempt_) {
    PrintField("attempt", event.attempt_->value_, aOut);
  }
  if (event.key_) {
    PrintField("service", event.key_->service_.value_, aOut);
    PrintField("key", event.key_->key_.value_, aOut);
  }
  if (event.peer_) {
    PrintField("peer", gpIncarnationText(*event.peer_), aOut);
  }
  if (event.number_) {
    PrintField("number", *event.number_, aOut);
  }
  if (!event.detail_.empty()) {
    PrintField("detail", event.detail_, aOut);
  }
  aOut << "\n";
}

} // namespace

void
gpTimelineCommand::AddOptions(gpCommandOptions& aOptions) const
{
  aOptions.unnamed_.add_options()("files", po::value<Names>()->required());
  aOptions.positions_.add("files", -1);
  aOptions.named_.add_options()(
    "job",
    po::value<std::string>()->value_name("KEY"),
    "print only the events of jobs with this submission key");
}

gpExitCode
gpTimelineCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  absl::StatusOr<gpEventLogRecords> logs =
    gpReadEventLogs(aValues["files"].as<Names>(), aConsole);
  if (!logs.ok()) {
    return Fail(aConsole, logs.status());
  }
  Records records = std::move(logs->records_);
  if (aValues.count("job") > 0) {
    records = FilterByKey(records, aValues["job"].as<std::string>());
  }
  std::stable_sort(records.begin(), records.end(), IsBefore);
  for (const gpTimelineRecord& record : records) {
    Print(record, aConsole.out_);
  }
  return gpExitCode::Success;
}
