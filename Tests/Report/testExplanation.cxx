#define BOOST_TEST_MODULE gpExplanation
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <string>
#include <vector>

#include "gpExplanation.h"
#include "gpJobTrace.h"

namespace {

/// The lines of one day in the order in which the processes wrote them.
class Log
{
public:
  void OfEntry(gpEventKind aKind,
               int aMillis,
               const std::string& aKey,
               const std::string& aDetail,
               std::uint64_t aRun = 0)
  {
    Add(gpRole::Entry, aKind, aMillis, aKey, aDetail, aRun);
  }
  void OfGuard(gpEventKind aKind,
               int aMillis,
               const std::string& aKey,
               std::uint64_t aRun)
  {
    Add(gpRole::Guard, aKind, aMillis, aKey, "", aRun);
  }
  void Admit(int aMillis, const std::string& aJob, int aObjective)
  {
    OfEntry(gpEventKind::JobAdmitted,
            aMillis,
            aJob,
            "queue quote version 1 tasks 1 estimate 100 ms objective " +
              std::to_string(aObjective) + " ms time left 1490 ms wait 0 ms");
  }
  void Answer(int aMillis, const std::string& aJob, const std::string& aDetail)
  {
    OfEntry(gpEventKind::JobAnswered, aMillis, aJob, aDetail);
  }

  std::vector<gpTimelineRecord> records_;

private:
  void Add(gpRole aRole,
           gpEventKind aKind,
           int aMillis,
           const std::string& aKey,
           const std::string& aDetail,
           std::uint64_t aRun)
  {
    gpTimelineRecord record;
    record.role_ = aRole;
    record.incarnation_ = gpIncarnation(aRole == gpRole::Entry ? 1 : 2);
    record.event_.kind_ = aKind;
    record.event_.key_ =
      gpServiceKey{ gpServiceName("pond-order"), gpSubmissionKey(aKey) };
    record.event_.number_ = aRun;
    record.event_.detail_ = aDetail;
    constexpr int kSecond = 1000;
    char time[40];
    std::snprintf(time,
                  sizeof(time),
                  "2026-12-31T23:59:%02d.%03d000Z",
                  aMillis / kSecond,
                  aMillis % kSecond);
    record.time_ = time;
    records_.push_back(record);
  }
};

gpExplanation
Explain(const Log& aLog)
{
  return gpExplain(gpTraceJobs(aLog.records_));
}

} // namespace

BOOST_AUTO_TEST_CASE(EachJobIsCountedByWhatBecameOfIt)
{
  Log log;
  log.Admit(0, "fast", 200);
  log.Answer(150, "fast", "completed none after 150 ms");
  log.Admit(0, "slow", 200);
  log.Answer(350, "slow", "completed none after 350 ms");
  log.Answer(
    1100, "refused", "not_run overloaded queue quote version 1 loop lag 0 ms");
  log.Admit(1200, "failed", 200);
  log.Answer(2690, "failed", "failed deadline_exceeded after 1490 ms");
  log.Admit(1300, "left", 200);
  log.OfEntry(gpEventKind::CallerGone, 1500, "left", "");
  log.Admit(1400, "lost with its entry", 200);
  const gpExplanation explanation = Explain(log);
  BOOST_TEST_REQUIRE(explanation.size() == 1U);
  const gpQueueExplanation& queue = explanation.at("quote");
  BOOST_TEST(queue.counts_.submitted_ == 6U);
  BOOST_TEST(queue.counts_.admitted_ == 5U);
  BOOST_TEST(queue.counts_.inTime_ == 1U);
  BOOST_TEST(queue.counts_.late_ == 1U);
  BOOST_TEST(queue.counts_.notCompleted_.size() == 4U);
  BOOST_TEST(queue.counts_.notCompleted_.at("not_run overloaded") == 1U);
  BOOST_TEST(queue.counts_.notCompleted_.at("unanswered") == 1U);
  BOOST_TEST(queue.counts_.CountOutcome("failed") == 1U);
  BOOST_TEST(queue.bySecond_.at(0).submitted_ == 2U);
  BOOST_TEST(queue.bySecond_.at(1).submitted_ == 4U);
}

BOOST_AUTO_TEST_CASE(TheTimeOfAJobIsSplitByWhatItWaitedFor)
{
  const std::string task = "a.b.0.0.1";
  Log log;
  log.Admit(0, "a.b", 500);
  log.OfEntry(gpEventKind::TaskWaiting,
              0,
              "a.b",
              "mostly full of leaving 0 ejected 0 stalled 0 full 3 slow 1");
  log.OfEntry(gpEventKind::TaskSent, 10, task, "", 7);
  log.OfEntry(gpEventKind::TaskCancelled, 60, task, "overdue", 7);
  log.OfEntry(gpEventKind::TaskEnded, 70, task, "stopped", 7);
  log.OfEntry(gpEventKind::TaskSent, 80, task, "", 8);
  log.OfGuard(gpEventKind::TaskAdmitted, 85, task, 8);
  log.OfGuard(gpEventKind::TaskEnded, 205, task, 8);
  log.OfEntry(gpEventKind::TaskEnded, 206, task, "done", 8);
  log.Answer(208, "a.b", "completed none after 208 ms");
  const gpExplanation explanation = Explain(log);
  const gpQueueExplanation& queue = explanation.at("quote");
  BOOST_TEST(queue.waitedFor_.at("full") == 1U);
  BOOST_TEST(queue.stragglers_ == 1U);
  BOOST_TEST(queue.savedByStraggler_ == 1U);
  BOOST_CHECK(queue.times_.waiting_.p50_ == gpMillis(80));
  BOOST_CHECK(queue.times_.order_.p50_ == gpMillis(5));
  BOOST_CHECK(queue.times_.run_.p50_ == gpMillis(120));
  BOOST_CHECK(queue.times_.answer_.p50_ == gpMillis(3));
  BOOST_CHECK(queue.times_.total_.p50_ == gpMillis(208));
  BOOST_TEST(gpExplanationText(explanation).find("waited for a target: full") !=
             std::string::npos);
  BOOST_TEST(gpExplanationJson(explanation).find(R"("p50_us":120000)") !=
             std::string::npos);
  BOOST_TEST(gpExplanationChart("quote", queue).find("queue quote") !=
             std::string::npos);
}
