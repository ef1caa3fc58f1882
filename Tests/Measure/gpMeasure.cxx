// Prints CPU time and memory per unit of work for several sizes, as Markdown
// tables. docs/CAPACITY.md is calculated from these figures.
#include <malloc.h>

#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string>

#include "gpClaimTable.h"
#include "gpConfigurationFile.h"
#include "gpDispatchQueue.h"
#include "gpEntryBenchmark.h"
#include "gpFrameCodec.h"
#include "gpPartitionReplica.h"
#include "gpReplicaRanking.h"
#include "gpStartLedger.h"

namespace {

/// CPU time of this process in microseconds.
double
CpuMicros()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

void
PrintHeader(const std::string& aTitle, const std::string& aColumns)
{
  std::cout << "\n### " << aTitle << "\n\n| " << aColumns << " |\n|";
  for (const char character : aColumns) {
    std::cout << (character == '|' ? "---|" : "");
  }
  std::cout << "---|\n";
}

double
TimeOf(const std::function<void()>& aWork)
{
  const double begin = CpuMicros();
  aWork();
  return CpuMicros() - begin;
}

void
MeasureEntryTasks()
{
  PrintHeader("Entry: decisions for one task, by guards and tasks of a job",
              "guards | tasks of a job | CPU us a task | messages a job");
  constexpr std::size_t kTotalTasks = 40000;
  for (const std::size_t guards : { 11U, 50U, 200U, 1000U }) {
    for (const std::size_t tasks : { 1U, 30U, 270U }) {
      gpEntryBenchmark benchmark(guards);
      const std::size_t jobs = kTotalTasks / tasks;
      const double micros = TimeOf([&] {
        for (std::size_t job = 0; job < jobs; ++job) {
          benchmark.RunJob(tasks);
        }
      });
      std::cout << "| " << guards << " | " << tasks << " | "
                << micros / static_cast<double>(jobs * tasks) << " | "
                << static_cast<double>(benchmark.CountMessages()) /
                     static_cast<double>(jobs)
                << " |\n";
    }
  }
}

void
MeasureWaitingTasks()
{
  PrintHeader("Entry: memory of waiting tasks (100 byte bodies, jobs of 30)",
              "waiting tasks | bytes a task");
  for (const std::size_t tasks : { 9000U, 18000U, 36000U, 72000U }) {
    gpEntryBenchmark benchmark(11);
    const double before = HeapBytes();
    for (std::size_t job = 0; job < tasks / 30; ++job) {
      benchmark.AddWaitingJob(30);
    }
    std::cout << "| " << tasks << " | "
              << (HeapBytes() - before) / static_cast<double>(tasks) << " |\n";
  }
}

void
MeasureTeams()
{
  PrintHeader("Entry: one start from the queue, by teams that wait",
              "teams | CPU us a start");
  constexpr std::size_t kStarts = 20000;
  for (const std::size_t teams : { 10U, 100U, 740U, 1480U }) {
    gpDispatchQueue queue;
    for (std::size_t number = 0; number < kStarts; ++number) {
      const gpTeamName team("team-" + std::to_string(number % teams));
      const gpTaskId task{ { gpIncarnation(1), number }, gpTaskIndex(0) };
      queue.Push(team, 1 + number % 3, gpTime{}, task);
    }
    // Pops half of the tasks, so that all teams have waiting tasks to the end.
    constexpr std::size_t kMeasured = kStarts / 2;
    const double micros = TimeOf([&] {
      for (std::size_t number = 0; number < kMeasured; ++number) {
        if (queue.Peek().has_value()) {
          queue.Pop();
        }
      }
    });
    std::cout << "| " << teams << " | " << micros / kMeasured << " |\n";
  }
}

gpClaimRequest
MakeClaim(std::size_t aNumber)
{
  gpClaimRequest request;
  request.key_ = { gpServiceName("service"),
                   gpSubmissionKey("submission-" + std::to_string(aNumber)) };
  request.claimant_.job_ = { gpIncarnation(1), aNumber };
  request.claimant_.address_ = gpAddress("127.0.0.1:40000");
  return request;
}

void
MeasureClaims()
{
  PrintHeader("Guard: claims", "claims | bytes a claim | CPU us a claim");
  for (const std::size_t claims : { 10000U, 20000U, 40000U, 80000U }) {
    gpClaimTable table(gpMillis(600000));
    const double before = HeapBytes();
    const double micros = TimeOf([&] {
      for (std::size_t number = 0; number < claims; ++number) {
        table.Claim(MakeClaim(number), gpTime{});
      }
    });
    const auto count = static_cast<double>(claims);
    std::cout << "| " << claims << " | " << (HeapBytes() - before) / count
              << " | " << micros / count << " |\n";
  }
}

void
MeasureLedger()
{
  PrintHeader("Guard: start records (result kept, 100 byte bodies)",
              "records | bytes a record | CPU us a record");
  for (const std::size_t records : { 10000U, 20000U, 40000U, 80000U }) {
    gpStartLedger ledger(gpMillis(600000));
    const double before = HeapBytes();
    const double micros = TimeOf([&] {
      for (std::size_t number = 0; number < records; ++number) {
        const gpTaskId task{ { gpIncarnation(1), number }, gpTaskIndex(0) };
        ledger.Admit({ task, gpAttempt(1) }, gpTime{});
        gpStartResult result;
        result.task_ = task;
        result.attempt_ = gpAttempt(1);
        result.result_ = gpTaskResult{ 200, std::string(100, 'r') };
        ledger.End(result, gpTime{});
      }
    });
    const auto count = static_cast<double>(records);
    std::cout << "| " << records << " | " << (HeapBytes() - before) / count
              << " | " << micros / count << " |\n";
  }
}

void
MeasureRoster()
{
  PrintHeader("One change of the roster, by members of the service",
              "members | guard CPU us | entry CPU us | bytes of the roster");
  constexpr int kChanges = 10;
  for (const std::size_t members : { 11U, 100U, 500U, 2000U }) {
    const gpRoster even = gpMeasuredRoster(members);
    const gpRoster odd = gpMeasuredRoster(members + 1);
    gpPartitionReplica holder(gpMeasuredMember(0).guard_);
    const gpServiceName service("service");
    const double guard = TimeOf([&] {
      for (int change = 0; change < kChanges; ++change) {
        holder.ChangeRoster(
          change % 2 == 0 ? even : odd, service, true, gpTime{});
      }
    });
    gpEntryReducer reducer(gpPeer{}, gpTimings{}, 1);
    const double entry = TimeOf([&] {
      for (int change = 0; change < kChanges; ++change) {
        reducer.Reduce(
          { gpTime{}, gpRosterChanged{ change % 2 == 0 ? even : odd, true } });
      }
    });
    const double before = HeapBytes();
    const gpRoster copy = even;
    std::cout << "| " << members << " | " << guard / kChanges << " | "
              << entry / kChanges << " | " << HeapBytes() - before << " |\n";
  }
}

void
MeasureConfiguration()
{
  PrintHeader("One configuration, by teams",
              "teams | bytes of the file | CPU us to read and check");
  for (const std::size_t teams : { 10U, 100U, 740U, 1480U }) {
    gpConfiguration configuration = gpMeasuredConfiguration().configuration_;
    for (std::size_t number = 0; number < teams; ++number) {
      gpTeamConfig team;
      team.name_ = gpTeamName("team-" + std::to_string(number));
      team.services_ = { gpServiceName("service") };
      configuration.teams_.emplace(team.name_, team);
    }
    configuration.services_.begin()->second.limits_ = gpLimits{};
    configuration.services_.begin()->second.region_ = gpRegionName("region");
    const std::string text = gpRenderConfiguration(configuration);
    constexpr int kReads = 10;
    const double micros = TimeOf([&] {
      for (int read = 0; read < kReads; ++read) {
        if (!gpParseConfiguration(text).ok()) {
          std::cerr << "the configuration is invalid\n";
        }
      }
    });
    std::cout << "| " << teams << " | " << text.size() << " | "
              << micros / kReads << " |\n";
  }
}

void
MeasureFrames()
{
  PrintHeader("Bytes on the wire, each message in a frame of its own and 30 in "
              "one, and the time to encode and decode",
              "message | bytes alone | bytes of 30 | CPU us each, of 30");
  gpStart start;
  start.key_ = gpSubmissionKey("submission-1234567");
  start.path_ = "/v1/hold";
  start.body_ = std::string(100, 'b');
  gpStartResult result;
  result.result_ = gpTaskResult{ 200, std::string(100, 'r') };
  gpClaimReply reply;
  reply.verdict_ = gpClaimVerdict::Granted;
  const gpClaimRequest claim = MakeClaim(1234567);
  const std::vector<std::pair<std::string, gpMessage>> messages = {
    { "start", start },
    { "start_result", result },
    { "claim_request", claim },
    { "claim_reply", reply },
    { "claim_outcome",
      gpClaimOutcome{
        claim.key_, claim.claimant_.job_, gpComplete{ { result.result_ } } } },
    { "slot_report", gpSlotReport{ 8, 8, false } },
  };
  for (const auto& [name, message] : messages) {
    gpFrame frame;
    frame.messages_.assign(1, message);
    const std::size_t alone = gpFrameCodec::EncodeFrame(frame).size();
    frame.messages_.assign(30, message);
    const std::string encoded = gpFrameCodec::EncodeFrame(frame);
    constexpr int kRounds = 300;
    const double micros = TimeOf([&] {
      for (int round = 0; round < kRounds; ++round) {
        if (!gpFrameCodec::DecodeFrame(gpFrameCodec::EncodeFrame(frame)).ok()) {
          std::cerr << "a frame cannot be decoded\n";
        }
      }
    });
    std::cout << "| " << name << " | " << alone << " | " << encoded.size()
              << " | " << micros / (kRounds * 30) << " |\n";
  }
}

} // namespace

int
main()
{
  std::cout << std::fixed << std::setprecision(2);
  MeasureEntryTasks();
  MeasureWaitingTasks();
  MeasureTeams();
  MeasureClaims();
  MeasureLedger();
  MeasureRoster();
  MeasureConfiguration();
  MeasureFrames();
  return 0;
}
