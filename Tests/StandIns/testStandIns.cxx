#define BOOST_TEST_MODULE gpStandIns
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>

#include "gpError.h"
#include "gpTestFolder.h"
#include "gpTestHttp.h"
#include "gpTestJob.h"
#include "gpTestProcess.h"

namespace {

/// A stand-in process with its own temporary folder.
class StandIn
{
public:
  StandIn(const std::string& aName, std::vector<std::string> aArguments = {})
    : process_(gpTestCommand{ .name_ = aName,
                              .program_ = "gp-stand-in-" + aName,
                              .arguments_ = std::move(aArguments),
                              .folder_ = folder_.Path(),
                              .eventLog_ = {} })
  {
    process_.Start();
  }

  gpTestProcess& Process() { return process_; }
  gpAddress Service() { return process_.Address("service"); }

  void Control(gpTestHttp& aHttp, const std::string& aCommand)
  {
    const gpHttpReply reply =
      aHttp.Post(process_.Address("control"), "/control", aCommand);
    BOOST_TEST_REQUIRE(gpStatusOf(reply) == 200, gpBodyOf(reply));
  }

  /// Reads a number from the result of GET /control. aPointer is a JSON pointer
  /// such as "/to_server/waiting_bytes".
  std::int64_t Count(gpTestHttp& aHttp, const std::string& aPointer)
  {
    const gpHttpReply reply =
      aHttp.Get(process_.Address("control"), "/control");
    return boost::json::parse(gpBodyOf(reply))
      .at_pointer(aPointer)
      .to_number<std::int64_t>();
  }

private:
  gpTestFolder folder_;
  gpTestProcess process_;
};

void
WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!aCondition()) {
    BOOST_TEST_REQUIRE((std::chrono::steady_clock::now() < end));
    std::this_thread::sleep_for(gpMillis(5));
  }
}

/// A request to run a task, as a guard sends it to its target.
gpHttpRequest
TaskRequest(const std::string& aKey, const std::string& aBody = "")
{
  gpHttpRequest request;
  request.method_ = "POST";
  request.target_ = "/v1/hold";
  request.headers_["gypsumpoint-submission"] = aKey;
  request.headers_["gypsumpoint-task"] = "0";
  request.body_ = aBody;
  return request;
}

/// A target that is called through a proxy.
struct ProxiedTarget
{
  gpTestHttp http_;
  StandIn target_{ "target" };
  StandIn proxy_{ "proxy", { "--to", target_.Service().value_ } };

  gpTestCall Call(const std::string& aKey)
  {
    return http_.Call(proxy_.Service(), TaskRequest(aKey));
  }
  std::int64_t Starts() { return target_.Count(http_, "/total_starts"); }
};

/// The log service, with requests to one of its streams.
struct LogService
{
  gpTestHttp http_;
  StandIn log_{ "log" };

  gpHttpReply Append(const std::string& aRecord)
  {
    return http_.Post(
      log_.Service(), "/v1/streams/configuration/records", aRecord);
  }
  boost::json::value Read(const std::string& aQuery)
  {
    return boost::json::parse(gpBodyOf(http_.Get(
      log_.Service(), "/v1/streams/configuration/records?" + aQuery)));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ProxyForwardsHeldBytesAfterClientDisconnects,
                        ProxiedTarget)
{
  proxy_.Control(http_, R"({"mode": "hold", "direction": "to_server"})");
  gpTestCall call = Call("late");
  WaitUntil(
    [&] { return proxy_.Count(http_, "/to_server/waiting_bytes") > 0; });
  call.cancel_();
  BOOST_TEST(gpStatusOf(call.reply_.get()) == 0);
  BOOST_TEST(Starts() == 0);

  proxy_.Control(http_, R"({"mode": "pass"})");
  WaitUntil([&] { return Starts() == 1; });
  WaitUntil([&] { return proxy_.Count(http_, "/open") == 0; });
}

BOOST_FIXTURE_TEST_CASE(ProxyReplaysOnANewConnection, ProxiedTarget)
{
  proxy_.Control(http_, R"({"mode": "duplicate"})");
  BOOST_TEST(gpStatusOf(Call("twice").reply_.get()) == 200);
  BOOST_TEST(Starts() == 1);
  proxy_.Control(http_, R"({"mode": "cut"})");
  proxy_.Control(http_, R"({"mode": "replay"})");
  WaitUntil([&] { return target_.Count(http_, "/starts/twice~10") == 2; });
  BOOST_TEST(proxy_.Count(http_, "/replays") == 1);
}

BOOST_FIXTURE_TEST_CASE(ProxyRepeatsTheLastChunk, ProxiedTarget)
{
  BOOST_TEST(gpStatusOf(Call("repeated").reply_.get()) == 200);
  const std::int64_t received =
    proxy_.Count(http_, "/to_server/received_bytes");
  BOOST_TEST(proxy_.Count(http_, "/to_server/forwarded_bytes") == received);
  proxy_.Control(http_, R"({"mode": "repeat"})");
  WaitUntil([&] {
    return proxy_.Count(http_, "/to_server/forwarded_bytes") > received;
  });
}

BOOST_FIXTURE_TEST_CASE(ProxyDropsAndCuts, ProxiedTarget)
{
  proxy_.Control(http_, R"({"mode": "drop"})");
  gpTestCall call = Call("lost");
  WaitUntil(
    [&] { return proxy_.Count(http_, "/to_server/dropped_bytes") > 0; });
  BOOST_TEST(proxy_.Count(http_, "/open") == 1);
  proxy_.Control(http_, R"({"mode": "cut"})");
  BOOST_TEST(gpStatusOf(call.reply_.get()) == 0);
  BOOST_TEST(Starts() == 0);
  BOOST_TEST(gpStatusOf(Call("passes").reply_.get()) == 200);
}

BOOST_FIXTURE_TEST_CASE(ProxyRefusesUntilItPasses, ProxiedTarget)
{
  proxy_.Control(http_, R"({"mode": "refuse"})");
  const gpHttpReply refused = Call("refused").reply_.get();
  BOOST_TEST(
    (gpErrorCodeOf(refused.response_.status()) == gpErrorCode::ConnectRefused));
  proxy_.Control(http_, R"({"mode": "delay", "delay_ms": 20})");
  BOOST_TEST(gpStatusOf(Call("delayed").reply_.get()) == 200);
}

BOOST_FIXTURE_TEST_CASE(ProxyRejectsInvalidCommands, ProxiedTarget)
{
  const gpAddress control = proxy_.Process().Address("control");
  for (const std::string body :
       { R"({"mode": "melt"})", R"({"speed": 1})", "[", R"({"mode": 1})" }) {
    BOOST_TEST(gpStatusOf(http_.Post(control, "/control", body)) == 400);
  }
}

BOOST_FIXTURE_TEST_CASE(LogWritesRecordWhenResponseIsLost, LogService)
{
  log_.Control(http_, R"({"mode": "lose_answers"})");
  BOOST_TEST(gpStatusOf(Append("a record")) == 0);
  log_.Control(http_, R"({"mode": "refuse"})");
  BOOST_TEST(gpStatusOf(Append("not written")) == 503);
  log_.Control(http_, R"({"mode": "up"})");
  const boost::json::value read = Read("from=0");
  BOOST_TEST(read.at_pointer("/next").to_number<int>() == 1);
  BOOST_TEST(read.at_pointer("/records/0/data").as_string() == "a record");
}

BOOST_FIXTURE_TEST_CASE(LogRetainsNewestRecords, LogService)
{
  log_.Control(http_, R"({"retain_records": 2, "appends_per_second": 1000})");
  for (const std::string record : { "a", "b", "c" }) {
    BOOST_TEST(gpStatusOf(Append(record)) == 201);
  }
  const boost::json::value read = Read("from=0");
  BOOST_TEST(read.at_pointer("/earliest").to_number<int>() == 1);
  BOOST_TEST(read.at_pointer("/records").as_array().size() == 2U);
  BOOST_TEST(read.at_pointer("/records/0/offset").to_number<int>() == 1);
  BOOST_TEST(Read("from=0&max=1").at_pointer("/records").as_array().size() ==
             1U);
}

BOOST_FIXTURE_TEST_CASE(LogAnswersWaitingReadWithNextRecord, LogService)
{
  gpHttpRequest request;
  request.target_ = "/v1/streams/configuration/records?from=0&wait_ms=60000";
  gpTestCall read = http_.Call(log_.Service(), request);
  WaitUntil([&] { return log_.Count(http_, "/reads") == 1; });
  BOOST_TEST(gpStatusOf(Append("new")) == 201);
  const boost::json::value answer =
    boost::json::parse(gpBodyOf(read.reply_.get()));
  BOOST_TEST(answer.at_pointer("/records/0/data").as_string() == "new");
}

BOOST_AUTO_TEST_CASE(TargetCountsEachStart)
{
  gpTestFolder folder;
  const auto journal = folder.Path() / "journal";
  gpTestHttp http;
  StandIn target("target", { "--slots", "1", "--journal", journal.string() });
  const auto call = [&](const std::string& aKey, const std::string& aBody) {
    return http.Call(target.Service(), TaskRequest(aKey, aBody)).reply_.get();
  };
  BOOST_TEST(gpBodyOf(call("a", "")) == "a/0");
  const std::string body = R"({"run_ms": 1, "answer": "b", "status": 409})";
  const gpHttpReply reply = call("b", body);
  BOOST_TEST(gpStatusOf(reply) == 409);
  BOOST_TEST(gpBodyOf(reply) == "b");
  target.Control(http, R"({"crash_next": true})");
  BOOST_TEST(gpStatusOf(call("c", "")) == 0);
  target.Control(http, R"({"fail_all": true})");
  BOOST_TEST(gpStatusOf(call("c", "")) == 500);

  BOOST_TEST(target.Count(http, "/starts/c~10") == 2);
  BOOST_TEST(target.Count(http, "/peak_running") == 1);
  target.Process().Kill();
  std::ifstream file(journal);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  BOOST_TEST(text == "a/0\nb/0\nc/0\nc/0\n");
}

BOOST_AUTO_TEST_CASE(TargetCompletesAllTasksBeforeItExits)
{
  gpTestHttp http;
  StandIn target("target", { "--slots", "1" });
  target.Control(http, R"({"hang": true})");
  gpTestCall first = http.Call(target.Service(), TaskRequest("first"));
  gpTestCall second = http.Call(target.Service(), TaskRequest("second"));
  WaitUntil([&] { return target.Count(http, "/running") == 1; });
  target.Process().Terminate();
  target.Control(http, R"({"hang": false})");
  BOOST_TEST(gpStatusOf(first.reply_.get()) == 200);
  BOOST_TEST(gpStatusOf(second.reply_.get()) == 200);
  BOOST_TEST((target.Process().WaitForExit() == 0));
}

// Guards against a worker that reports the end of a run before it has written
// the end to its journal. If it was killed in between, the journal lacked the
// end, and the soak test reported the answer to the caller as wrong.
BOOST_AUTO_TEST_CASE(WorkerWritesEndToJournalBeforeReportingIt)
{
  constexpr int kRuns = 40;
  gpTestFolder folder;
  const auto journal = folder.Path() / "journal";
  gpTestHttp http;
  StandIn worker("worker", { "--journal", journal.string() });
  for (int run = 1; run <= kRuns; ++run) {
    const std::string task = "5c0e7a21d94b36f8.0.0." + std::to_string(run);
    http.Post(worker.Service(),
              "/v1/run-start",
              R"({"task":")" + task +
                R"(","run":1,"fence":1,"deadlineMs":100000000,)"
                R"("spec":"{\"run_ms\":3}"})");
    const std::string seen =
      gpBodyOf(http.Post(worker.Service(),
                         "/v1/hold",
                         R"({"fence":1,"deadlineMs":100000000,"waitMs":1000,)"
                         R"("ackCursor":)" +
                           std::to_string(run - 1) + "}"));
    std::ifstream file(journal);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const std::string expected =
      R"(")" + task + R"(","number":1,"event":"done")";
    BOOST_TEST(seen.find(task) != std::string::npos, seen);
    BOOST_TEST(text.find(expected) != std::string::npos, text);
  }
}
