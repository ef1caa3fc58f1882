#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <future>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>

#include "gpCommandLine.h"
#include "gpConfigurationFile.h"
#include "gpEventLoop.h"
#include "gpHttpServer.h"
#include "gpJobJson.h"

namespace {

namespace json = boost::json;

struct CommandResult
{
  int code_ = 0;
  std::string out_;
  std::string err_;
};

CommandResult
Run(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream err;
  gpConsole console{ out, err };
  const gpExitCode code = gpRunCommandLine(aArguments, console);
  return { static_cast<int>(code), out.str(), err.str() };
}

// A file in the working directory. The destructor removes it.
struct File
{
  std::string name_;

  File(std::string aName, const std::string& aText)
    : name_(std::move(aName))
  {
    std::ofstream(name_) << aText;
  }
  ~File() { std::remove(name_.c_str()); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
};

// An HTTP server that runs in its own thread.
class Server
{
public:
  using Handler = std::function<gpHttpResponse(const gpHttpRequest&)>;

  explicit Server(Handler aHandler)
  {
    std::promise<std::string> address;
    auto ready = address.get_future();
    thread_ = std::thread([this, handler = std::move(aHandler), &address] {
      gpHttpServer* self = nullptr;
      gpHttpServer server(
        loop_,
        {},
        { [&](gpRequestId aId, const gpHttpRequest& aRequest) {
           self->Respond(aId, handler(aRequest));
         },
          [](gpRequestId) {} });
      self = &server;
      address.set_value(server.Listen(gpAddress("127.0.0.1:0"))->value_);
      loop_.Run();
    });
    address_ = ready.get();
  }
  ~Server()
  {
    loop_.Stop();
    thread_.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::string address_;

private:
  gpEventLoop loop_;
  std::thread thread_;
};

// Responds to requests as the log service does; see docs/log-service.md.
struct LogService
{
  std::vector<std::string> records_;

  gpHttpResponse Answer(const gpHttpRequest& aRequest)
  {
    json::object body;
    if (aRequest.method_ == "POST") {
      body["offset"] = records_.size();
      records_.push_back(aRequest.body_);
      return { 201, "application/json", {}, json::serialize(body) };
    }
    const auto from =
      std::stoul(aRequest.target_.substr(aRequest.target_.find("from=") + 5));
    json::array records;
    for (std::size_t i = from; i < records_.size(); ++i) {
      records.push_back({ { "offset", i }, { "data", records_[i] } });
    }
    body["earliest"] = 0;
    body["next"] = records_.size();
    body["records"] = std::move(records);
    return { 200, "application/json", {}, json::serialize(body) };
  }
};

const std::string kFile =
  R"({"services": {"a": {"region": "r"}}, "teams": {"t": {}}})";
const std::string kJob = R"({"service": "a", "team": "t",
  "tasks": [{"path": "/x", "idempotent": true}]})";

gpHttpResponse
ToResponse(const gpRenderedAnswer& aAnswer)
{
  return {
    aAnswer.status_, aAnswer.contentType_, aAnswer.headers_, aAnswer.body_
  };
}

std::string
StatusBody(int aVersion)
{
  return R"({"process": "p", "role": "entry", "incarnation": "1",
    "configuration_version": )" +
         std::to_string(aVersion) + R"(, "apply_id": "x", "roster_epoch": 3,
    "log_available": true, "members": 1, "in_flight": 0, "waiting": 0})";
}

Server::Handler
AlwaysRespond(const std::string& aBody)
{
  return [aBody](const gpHttpRequest&) {
    return gpHttpResponse{ 200, "application/json", {}, aBody };
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(CommandLine)

BOOST_AUTO_TEST_CASE(EveryCommandHasHelpAndVersion)
{
  BOOST_TEST(Run({ "--help" }).code_ == 0);
  for (const char* command : { "validate",
                               "apply",
                               "show",
                               "diff",
                               "status",
                               "drain",
                               "submit",
                               "job",
                               "timeline",
                               "explain" }) {
    BOOST_TEST(Run({ "--help" }).out_.find(command) != std::string::npos);
    const CommandResult help = Run({ command, "--help" });
    BOOST_TEST(help.code_ == 0);
    BOOST_TEST(help.out_.starts_with(std::string("Usage: gypsumpoint ") +
                                     command + " "));
    const CommandResult version = Run({ command, "--version" });
    BOOST_TEST(version.code_ == 0);
    BOOST_TEST(version.out_ == Run({ "--version" }).out_);
  }
}

BOOST_AUTO_TEST_CASE(WrongUsageExitsWithCode2)
{
  const std::vector<std::vector<std::string>> wrong = {
    {},
    { "nope" },
    { "validate" },
    { "validate", "a", "b" },
    { "apply", "f" },
    { "show", "--log", "localhost:80" },
    { "show", "--lo", "127.0.0.1:1" },
    { "apply", "f", "--log", "127.0.0.1:1", "--base", "x" },
    { "drain", "nowhere", "--log", "127.0.0.1:1" },
    { "job", "a", "--entry", "127.0.0.1:1" },
    { "status" },
    { "timeline", "--job" },
    { "explain" },
    { "explain", "a", "--json" },
  };
  for (const auto& arguments : wrong) {
    const CommandResult ran = Run(arguments);
    BOOST_TEST(ran.code_ == 2);
    BOOST_TEST(ran.out_.empty());
    BOOST_TEST(ran.err_.find("Usage: gypsumpoint") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(ValidateListsAllErrors)
{
  const File good("command-good.json", kFile);
  BOOST_TEST(Run({ "validate", good.name_ }).out_ ==
             "valid: 1 services, 1 teams, 0 drains\n");
  const File bad("command-bad.json",
                 R"({"services": {"a": {}}, "drains": [{}]})");
  const CommandResult ran = Run({ "validate", bad.name_ });
  BOOST_TEST(ran.code_ == 1);
  BOOST_TEST(ran.err_.find("\n/services/a/region: ") != std::string::npos);
  BOOST_TEST(ran.err_.find("\n/drains/0/guard: ") != std::string::npos);
  BOOST_TEST(Run({ "validate", "no-such-file" }).code_ == 1);
}

BOOST_AUTO_TEST_CASE(AppliesShowsDiffsAndDrains)
{
  LogService log;
  Server server(
    [&](const gpHttpRequest& aRequest) { return log.Answer(aRequest); });
  const std::string& at = server.address_;
  const File file("command-file.json", kFile);

  BOOST_TEST(Run({ "show", "--log", at }).code_ == 1);
  BOOST_TEST(Run({ "apply", file.name_, "--log", at }).out_ ==
             "applied version 1\n");
  const CommandResult conflict =
    Run({ "apply", file.name_, "--log", at, "--base", "0" });
  BOOST_TEST(conflict.code_ == 1);
  BOOST_TEST(conflict.err_.find("version 1 (apply ID ") != std::string::npos);
  BOOST_TEST(Run({ "drain", "127.0.0.1:7001", "--log", at }).out_ ==
             "applied version 2\n");
  BOOST_TEST(Run({ "drain", "127.0.0.1:7001", "--log", at }).out_ ==
             "nothing to change in version 2\n");
  BOOST_TEST(Run({ "diff", file.name_, "--log", at }).out_ ==
             "1 differences from version 2\n"
             "- /drains[{\"guard\":\"127.0.0.1:7001\"}]: "
             "{\"guard\":\"127.0.0.1:7001\"}\n");
  BOOST_TEST(Run({ "drain", "127.0.0.1:7001", "--log", at, "--undo" }).out_ ==
             "applied version 3\n");
  const CommandResult shown = Run({ "show", "--log", at });
  BOOST_TEST(shown.code_ == 0);
  BOOST_TEST(shown.err_.starts_with("version 3, apply ID "));
  BOOST_TEST(gpRenderConfiguration(*gpParseConfiguration(shown.out_)) ==
             gpRenderConfiguration(*gpParseConfiguration(kFile)));
}

BOOST_AUTO_TEST_CASE(ApplyReportsAnUnreachableLog)
{
  std::string free;
  {
    const Server server(AlwaysRespond("{}"));
    free = server.address_;
  }
  const File file("command-down.json", kFile);
  const CommandResult ran = Run({ "apply", file.name_, "--log", free });
  BOOST_TEST(ran.code_ == 1);
  BOOST_TEST(ran.err_.find("nothing was written") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(StatusComparesProcesses)
{
  const Server first(AlwaysRespond(StatusBody(4)));
  const Server second(AlwaysRespond(StatusBody(4)));
  const Server third(AlwaysRespond(StatusBody(5)));
  const Server broken(AlwaysRespond("{}"));
  const CommandResult same =
    Run({ "status", "--at", first.address_, "--at", second.address_ });
  BOOST_TEST(same.code_ == 0);
  BOOST_TEST(same.out_ == first.address_ +
                            " version 4 apply x roster 3 log up entry p\n" +
                            second.address_ +
                            " version 4 apply x roster 3 log up entry p\n");
  BOOST_TEST(Run({ "status", "--at", first.address_, third.address_ }).code_ ==
             1);
  const CommandResult partial =
    Run({ "status", "--at", first.address_, broken.address_ });
  BOOST_TEST(partial.code_ == 1);
  BOOST_TEST(partial.out_.find("no valid answer") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SubmitsJobsAndRequestsTheirAnswers)
{
  std::vector<gpHttpRequest> seen;
  const gpAnswer answers[] = {
    gpComplete{ { { 200, "done" } } },
    gpFailure{ gpFailureCode::QueueFull, gpOutcome::NotRun, {}, gpMillis(5) },
  };
  Server server([&](const gpHttpRequest& aRequest) {
    seen.push_back(aRequest);
    return ToResponse(gpRenderAnswer(answers[seen.size() - 1]));
  });
  const File job("command-job.json", kJob);
  const CommandResult submitted = Run({ "submit",
                                        "--entry",
                                        server.address_,
                                        "--file",
                                        job.name_,
                                        "--key",
                                        "k1" });
  BOOST_TEST(submitted.code_ == 0);
  BOOST_TEST((*gpParseAnswer(submitted.out_) == answers[0]));
  const CommandResult asked =
    Run({ "job", "--entry", server.address_, "a", "k/1?" });
  BOOST_TEST(asked.code_ == 1);
  BOOST_TEST((*gpParseAnswer(asked.out_) == answers[1]));
  BOOST_REQUIRE(seen.size() == 2U);
  BOOST_TEST(seen[0].method_ == "POST");
  BOOST_TEST(seen[0].target_ == "/v1/jobs");
  BOOST_TEST(seen[0].headers_.at("idempotency-key") == "k1");
  BOOST_TEST(seen[0].body_ == kJob);
  BOOST_TEST(seen[1].target_ == "/v1/jobs/a/k%2F1%3F?wait_ms=10000");
}

BOOST_AUTO_TEST_CASE(TimelineMergesFiles)
{
  const std::string who = R"("role":"entry","incarnation":"00000000000000a1")";
  const std::string job = R"("job":"00000000000000a1-1")";
  const File first(
    "command-first.jsonl",
    R"({"event":"job_admitted","time":"2026-01-01T00:00:00.000001Z","clock":1,"process":"e1",)" +
      who + "," + job + R"(,"service":"a","key":"k1"})" + "\n" +
      R"({"event":"job_answered","time":"2026-01-01T00:00:00.000002Z","clock":9,"process":"e1",)" +
      who + "," + job + "}\n{\"event\":");
  const File second(
    "command-second.jsonl",
    R"({"event":"task_admitted","time":"2026-01-01T00:00:00.000000Z","clock":5,"process":"g1",)" +
      who + "," + job + R"(,"task":0})" + "\n" +
      R"({"event":"link_up","time":"2026-01-01T00:00:00.000000Z","clock":2,"process":"g1",)" +
      who + "}\n");
  const CommandResult all = Run({ "timeline", first.name_, second.name_ });
  BOOST_TEST(all.code_ == 0);
  BOOST_TEST(all.err_.find("command-first.jsonl") != std::string::npos);
  BOOST_TEST(all.out_ == "2026-01-01T00:00:00.000001Z 1 e1 job_admitted "
                         "job=00000000000000a1-1 service=a key=k1\n"
                         "2026-01-01T00:00:00.000000Z 2 g1 link_up\n"
                         "2026-01-01T00:00:00.000000Z 5 g1 task_admitted "
                         "job=00000000000000a1-1 task=0\n"
                         "2026-01-01T00:00:00.000002Z 9 e1 job_answered "
                         "job=00000000000000a1-1\n");
  const CommandResult one =
    Run({ "timeline", "--job", "k1", first.name_, second.name_ });
  BOOST_TEST(one.out_.find("link_up") == std::string::npos);
  BOOST_TEST(one.out_.find("job_answered") != std::string::npos);
  BOOST_TEST(Run({ "timeline", "no-such-file" }).code_ == 1);
}

BOOST_AUTO_TEST_SUITE_END()
