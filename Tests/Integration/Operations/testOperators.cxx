#include <map>
#include <set>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "gpOperationsCluster.h"
#include "gpOperatorCall.h"
#include "gpTestFailure.h"

using boost::unit_test::timeout;

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/** \class OperatedCluster
 * \brief A cluster in which all processes have configuration version 1.
 */
struct OperatedCluster : gpTestCluster
{
  OperatedCluster()
    : gpTestCluster({ .timings_ = gpQuickTimings() })
  {
    Apply(gpTestConfiguration({}));
    WaitUntilReady();
    WaitForAll(1);
  }

  std::vector<gpTestProcess*> Processes()
  {
    return { &Entry(0), &Entry(1), &Guard(0), &Guard(1), &Guard(2) };
  }

  void WaitForAll(std::uint64_t aVersion)
  {
    for (gpTestProcess* process : Processes()) {
      gpWaitForVersion(*this, *process, aVersion);
    }
  }

  std::string LogAddress() { return Log().Address("service").value_; }

  gpOperatorResult QueryStatus()
  {
    std::vector<std::string> arguments{ "status", "--at" };
    for (gpTestProcess* process : Processes()) {
      arguments.push_back(process->Address("http").value_);
    }
    return gpRunOperatorCall(arguments);
  }

  /// The offset after the last record of the configuration stream.
  std::uint64_t LogEnd()
  {
    const boost::json::value shown = boost::json::parse(Show(Log()));
    return shown.at("streams")
      .at("configuration")
      .at("next")
      .to_number<std::uint64_t>();
  }

  void Append(const std::string& aRecord)
  {
    const gpHttpReply reply = Http().Post(
      Log().Address("service"), "/v1/streams/configuration/records", aRecord);
    BOOST_TEST_REQUIRE(gpStatusOf(reply) == 201);
  }

  void WaitForRejection(const std::string& aWhy)
  {
    for (gpTestProcess* process : Processes()) {
      process->WaitForEvent("configuration_rejected", { { "detail", aWhy } });
    }
  }

  void CheckVersionIsInForceEverywhere(std::uint64_t aVersion)
  {
    const gpOperatorResult status = QueryStatus();
    BOOST_TEST(status.exit_ == 0);
    const std::string version = "version " + std::to_string(aVersion) + " ";
    for (gpTestProcess* process : Processes()) {
      BOOST_TEST(Contains(
        gpStatusText(*this, *process),
        "\"configuration_version\":" + std::to_string(aVersion) + ","));
    }
    BOOST_TEST(Contains(status.out_, version));
  }
};

/** \class Operator
 * \brief Applies its own configuration file, based on the version in force or
 * on a given one.
 */
class Operator
{
public:
  Operator(OperatedCluster& aCluster, std::uint32_t aWeight)
    : file_(gpTestConfiguration({}, aWeight))
    , log_(aCluster.LogAddress())
  {
  }

  void Begin(std::optional<std::uint64_t> aBase = std::nullopt)
  {
    std::vector<std::string> arguments{ "apply", file_.Path(), "--log", log_ };
    if (aBase.has_value()) {
      arguments.insert(arguments.end(), { "--base", std::to_string(*aBase) });
    }
    call_ = std::make_unique<gpOperatorCall>(arguments);
  }

  /// The applied version; nothing after a conflict. Throws gpTestFailure on
  /// any other result.
  std::optional<std::uint64_t> End()
  {
    const gpOperatorResult result = call_->Wait();
    const std::string applied = "applied version ";
    if (result.exit_ == 0 && result.out_.rfind(applied, 0) == 0) {
      return std::stoull(result.out_.substr(applied.size()));
    }
    if (result.exit_ == 1 && Contains(result.err_, "conflict: made from")) {
      return std::nullopt;
    }
    throw gpTestFailure("apply: " + result.out_ + result.err_);
  }

private:
  gpTestFile file_;
  std::string log_;
  std::unique_ptr<gpOperatorCall> call_;
};

/// Checks that the configuration versions in the events of a process strictly
/// increase.
void
CheckVersionsIncrease(gpTestProcess& aProcess)
{
  std::uint64_t last = 0;
  for (const gpTestEvent& event : aProcess.GetEvents()) {
    if (event.Is("configuration_in_force")) {
      const std::uint64_t version = std::stoull(event.Get("number"));
      BOOST_TEST_INFO(aProcess.Name());
      BOOST_TEST(version > last);
      last = version;
    }
  }
  BOOST_TEST(last > 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Operators)

BOOST_AUTO_TEST_CASE(OneWinsAndOneConflictsWhenTwoApplyFromOneVersion,
                     *timeout(kCaseSeconds))
{
  constexpr std::uint64_t kRounds = 8;
  OperatedCluster cluster;
  Operator first(cluster, 10);
  Operator second(cluster, 20);
  for (std::uint64_t base = 1; base <= kRounds; ++base) {
    first.Begin(base);
    second.Begin(base);
    const auto firstVersion = first.End();
    const auto secondVersion = second.End();
    BOOST_TEST(firstVersion.has_value() != secondVersion.has_value());
    BOOST_TEST(firstVersion.value_or(secondVersion.value_or(0)) == base + 1);
  }
  cluster.WaitForAll(kRounds + 1);
  cluster.CheckVersionIsInForceEverywhere(kRounds + 1);
}

BOOST_AUTO_TEST_CASE(NothingChangesWhenAnApplyIsRepeated,
                     *timeout(kCaseSeconds))
{
  OperatedCluster cluster;
  Operator applier(cluster, 10);
  applier.Begin();
  BOOST_TEST(applier.End().value_or(0) == 2U);
  const gpHttpReply reply =
    cluster.Http().Get(cluster.Log().Address("service"),
                       "/v1/streams/configuration/records?from=1&wait_ms=0");
  const boost::json::value batch = boost::json::parse(gpBodyOf(reply));
  const std::string record(
    batch.at("records").as_array().back().at("data").as_string());
  cluster.Append(record);
  cluster.WaitForRejection("repeated");
  cluster.CheckVersionIsInForceEverywhere(2);
}

BOOST_AUTO_TEST_CASE(NothingChangesWhenAFileIsInvalidOrTruncated,
                     *timeout(kCaseSeconds))
{
  OperatedCluster cluster;
  const std::uint64_t end = cluster.LogEnd();
  const std::string good = gpTestConfiguration({}, 10);
  const gpTestFile bad(
    R"({"services": {"pond-order": {"region": "gulf-south", "speed": 1}}})");
  const gpTestFile cut(good.substr(0, good.size() / 2));
  for (const gpTestFile* file : { &bad, &cut }) {
    const gpOperatorResult apply = gpRunOperatorCall(
      { "apply", file->Path(), "--log", cluster.LogAddress() });
    BOOST_TEST(apply.exit_ == 1);
    BOOST_TEST_INFO(apply.err_);
    BOOST_TEST(Contains(apply.err_, "file.json"));
  }
  BOOST_TEST(cluster.LogEnd() == end);

  // A program that doesn't check files could still append them to the log.
  const std::string record =
    R"({"kind":"apply","version":2,"base":1,"apply_id":"rogue","file":)";
  cluster.Append(record + R"({"services": {"pond-order": {"speed": 1}}}})");
  cluster.WaitForRejection("bad_file");
  cluster.Append(record + good.substr(0, good.size() / 2));
  cluster.WaitForRejection("bad_record");
  cluster.CheckVersionIsInForceEverywhere(1);
}

BOOST_AUTO_TEST_CASE(
  VersionsOnlyIncreaseWhenProcessesAreFrozenAndKilledDuringApplies,
  *timeout(kCaseSeconds))
{
  constexpr std::size_t kApplies = 30;
  OperatedCluster cluster;
  Operator first(cluster, 10);
  Operator second(cluster, 20);
  std::set<std::uint64_t> versions;
  const std::map<std::size_t, std::function<void()>> faults{
    { 6, [&] { cluster.Entry(1).Freeze(); } },
    { 9, [&] { cluster.Guard(0).Kill(); } },
    { 15,
      [&] {
        cluster.Entry(0).WaitForEvent("member_removed");
        CheckVersionsIncrease(cluster.Guard(0));
        cluster.Guard(0).Start();
      } },
    { 21, [&] { cluster.Entry(1).Thaw(); } },
  };
  auto nextFault = faults.begin();
  while (versions.size() < kApplies) {
    first.Begin();
    second.Begin();
    for (Operator* applier : { &first, &second }) {
      const auto version = applier->End();
      if (version.has_value()) {
        BOOST_TEST(versions.insert(*version).second);
      }
    }
    while (nextFault != faults.end() && versions.size() >= nextFault->first) {
      nextFault->second();
      ++nextFault;
    }
  }
  BOOST_TEST(*versions.begin() == 2U);
  BOOST_TEST(*versions.rbegin() == versions.size() + 1);
  cluster.WaitForAll(*versions.rbegin());
  for (gpTestProcess* process : cluster.Processes()) {
    CheckVersionsIncrease(*process);
  }
  cluster.CheckVersionIsInForceEverywhere(*versions.rbegin());
}

BOOST_AUTO_TEST_SUITE_END()
