#define BOOST_TEST_MODULE gpEventLog
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "gpError.h"
#include "gpEventLog.h"
#include "gpLamportClock.h"
#include "gpTimelineReader.h"
#include "gpTokenBucket.h"

namespace {

const gpIncarnation kSelf(0xabc);

/// A folder that is removed at the end of a test.
struct Fixture
{
  Fixture()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "gpEventLogXXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    file_ = folder_ + "/events.jsonl";
  }
  ~Fixture() { std::filesystem::remove_all(folder_); }

  std::string folder_;
  std::string file_;
  gpLamportClock clock_;
};

gpTimelineEvent
FullEvent()
{
  gpTimelineEvent event;
  event.kind_ = gpEventKind::TaskSent;
  event.job_ = gpJobId{ gpIncarnation(0xfeed), 7 };
  event.task_ = gpTaskIndex(3);
  event.attempt_ = gpAttempt(1);
  event.key_ =
    gpServiceKey{ gpServiceName("pond-order"), gpSubmissionKey("k \"1\"") };
  event.peer_ = gpIncarnation(0xffffffffffffffffU);
  event.number_ = 18446744073709551615U;
  event.detail_ = "line\nfeed, \xc3\xa4, \xe2\x82\xac and \xf0\x9f\x8c\xbf";
  return event;
}

std::string
FirstLine(const std::string& aFile)
{
  std::ifstream input(aFile);
  std::string line;
  std::getline(input, line);
  return line;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(AllFieldsAreReadBack, Fixture)
{
  gpEventLog log(clock_);
  BOOST_TEST(log.Open(file_, gpRole::Guard, "guard-1", kSelf).ok());
  clock_.Observe(41);
  log.Write(FullEvent());
  log.Write(gpTimelineEvent());
  log.Flush();

  // The log is still open, so the lines have been written by Flush.
  const auto file = gpTimelineReader::ReadFile(file_);
  BOOST_TEST_REQUIRE(file.ok());
  BOOST_TEST(file->errors_.empty());
  BOOST_TEST_REQUIRE(file->records_.size() == 2U);
  const gpTimelineRecord& record = file->records_[0];
  const gpTimelineEvent expected = FullEvent();
  BOOST_TEST((record.event_.kind_ == expected.kind_));
  BOOST_TEST((record.event_.job_ == expected.job_));
  BOOST_TEST((record.event_.task_ == expected.task_));
  BOOST_TEST((record.event_.attempt_ == expected.attempt_));
  BOOST_TEST((record.event_.key_ == expected.key_));
  BOOST_TEST((record.event_.peer_ == expected.peer_));
  BOOST_TEST((record.event_.number_ == expected.number_));
  BOOST_TEST(record.event_.detail_ == expected.detail_);
  BOOST_TEST(record.clock_ == 42U);
  BOOST_TEST(record.process_ == "guard-1");
  BOOST_TEST((record.role_ == gpRole::Guard));
  BOOST_TEST((record.incarnation_ == kSelf));
  BOOST_TEST(file->records_[1].clock_ == 43U);
  BOOST_TEST(!file->records_[1].event_.job_.has_value());
}

// Guards against a kind that is written but can't be read: its lines would be
// missing from every analysis of a log.
BOOST_FIXTURE_TEST_CASE(EveryKindIsReadBack, Fixture)
{
  constexpr int kLast = static_cast<int>(kGpLastEventKind);
  {
    gpEventLog log(clock_);
    BOOST_TEST(log.Open(file_, gpRole::Entry, "entry-1", kSelf).ok());
    for (int kind = 0; kind <= kLast; ++kind) {
      gpTimelineEvent event;
      event.kind_ = static_cast<gpEventKind>(kind);
      log.Write(event);
    }
  }
  const auto file = gpTimelineReader::ReadFile(file_);
  BOOST_TEST_REQUIRE(file.ok());
  BOOST_TEST(file->errors_.empty());
  BOOST_TEST_REQUIRE(file->records_.size() == kLast + 1U);
  for (int kind = 0; kind <= kLast; ++kind) {
    BOOST_TEST(static_cast<int>(file->records_[kind].event_.kind_) == kind);
  }
}

BOOST_FIXTURE_TEST_CASE(FieldsThatAreNotSetAreLeftOut, Fixture)
{
  gpEventLog log(clock_);
  BOOST_TEST(log.Open(file_, gpRole::Entry, "entry-1", kSelf).ok());
  log.Write(gpTimelineEvent());
  log.Flush();
  const std::string line = FirstLine(file_);
  BOOST_TEST(line.starts_with(R"({"event":"process_started","time":"2)"));
  BOOST_TEST(line.ends_with(R"("clock":1,"process":"entry-1","role":"entry",)"
                            R"("incarnation":"0000000000000abc"})"));
}

BOOST_FIXTURE_TEST_CASE(InvalidUtf8IsReplaced, Fixture)
{
  gpEventLog log(clock_);
  BOOST_TEST(log.Open(file_, gpRole::Entry, "entry-1", kSelf).ok());
  gpTimelineEvent event;
  event.detail_ = "a\xff\x01z";
  log.Write(event);
  event.detail_ = "\xe2\x82";
  log.Write(event);
  event.detail_ = "\xed\xa0\x80";
  log.Write(event);
  log.Flush();
  const auto file = gpTimelineReader::ReadFile(file_);
  BOOST_TEST(file->errors_.empty());
  BOOST_TEST_REQUIRE(file->records_.size() == 3U);
  BOOST_TEST(file->records_[0].event_.detail_ == "a?\x01z");
}

BOOST_FIXTURE_TEST_CASE(AFileIsAppendedTo, Fixture)
{
  for (int i = 0; i < 2; ++i) {
    gpEventLog log(clock_);
    BOOST_TEST(log.Open(file_, gpRole::Entry, "entry-1", kSelf).ok());
    log.Write(gpTimelineEvent());
  }
  BOOST_TEST(gpTimelineReader::ReadFile(file_)->records_.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AFileThatCannotBeOpenedIsAnError, Fixture)
{
  gpEventLog log(clock_);
  const std::string missing = folder_ + "/missing/events.jsonl";
  const auto status = log.Open(missing, gpRole::Entry, "entry-1", kSelf);
  BOOST_TEST((gpErrorCodeOf(status) == gpErrorCode::Io));
  log.Write(gpTimelineEvent());
  BOOST_TEST((gpErrorCodeOf(gpTimelineReader::ReadFile(missing).status()) ==
              gpErrorCode::Io));
}

BOOST_FIXTURE_TEST_CASE(InvalidLinesAreReportedWithTheirNumber, Fixture)
{
  {
    gpEventLog log(clock_);
    BOOST_TEST(log.Open(file_, gpRole::Entry, "entry-1", kSelf).ok());
    log.Write(FullEvent());
  }
  const std::string whole = FirstLine(file_);
  std::string wrongJob = whole;
  wrongJob.replace(wrongJob.find("feed-7"), 6, "feed_7");
  std::string wrongTime = whole;
  wrongTime.replace(wrongTime.find("Z\""), 2, "+\"");
  std::ofstream(file_, std::ios::app) << wrongJob << "\n"
                                      << wrongTime << "\n[]\n"
                                      << whole << "\n"
                                      << whole.substr(0, whole.size() / 2);
  const auto file = gpTimelineReader::ReadFile(file_);
  BOOST_TEST(file->records_.size() == 2U);
  BOOST_TEST_REQUIRE(file->errors_.size() == 4U);
  BOOST_TEST(gpErrorText(file->errors_[0]) ==
             file_ + ":2: field 'job' is missing or invalid");
  BOOST_TEST(gpErrorText(file->errors_[1]) ==
             file_ + ":3: field 'time' is missing or invalid");
  BOOST_TEST(gpErrorText(file->errors_[2]) == file_ + ":4: not a JSON object");
  BOOST_TEST(gpErrorText(file->errors_[3]) == file_ + ":6: not a JSON object");
  BOOST_TEST((gpErrorCodeOf(file->errors_[3]) == gpErrorCode::BadRecord));
}

BOOST_AUTO_TEST_CASE(ABlockedReaderDoesNotBlockTheWriter)
{
  constexpr int kMoreLinesThanAPipeHolds = 10000;
  int ends[2];
  BOOST_REQUIRE(pipe(ends) == 0);
  const int output = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  bool dropped = false;
  {
    gpLamportClock clock;
    gpEventLog log(clock);
    BOOST_REQUIRE(
      log.Open("-", gpRole::Entry, "entry-1", gpIncarnation(1)).ok());
    for (int line = 0; line < kMoreLinesThanAPipeHolds && !dropped; ++line) {
      dropped = !log.Write(gpTimelineEvent{});
    }
  }
  dup2(output, STDOUT_FILENO);
  close(output);
  close(ends[0]);
  close(ends[1]);
  BOOST_TEST(dropped);
}

BOOST_AUTO_TEST_CASE(ATokenBucketAllowsABurstAndThenItsRate)
{
  gpTokenBucket bucket(10);
  gpTime now{ gpMillis(1000) };
  int passed = 0;
  for (int event = 0; event < 30; ++event) {
    passed += bucket.Take(now) ? 1 : 0;
  }
  BOOST_TEST(passed == 10);
  now += gpMillis(500);
  for (int event = 0; event < 30; ++event) {
    passed += bucket.Take(now) ? 1 : 0;
  }
  BOOST_TEST(passed == 15);
}
