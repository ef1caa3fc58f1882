#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "gpConfigurationDiff.h"
#include "gpConfigurationFile.h"

namespace {

const std::string kWholeFile = R"({
  "services": {
    "pond-order": {
      "region": "gulf-south",
      "placement": "two_choices",
      "limits": {"queue_tasks": 5, "job_tasks": 6, "body_bytes": 7,
                 "max_deadline_ms": 800, "default_deadline_ms": 700},
      "retries": {"max_attempts": 2, "budget_percent": 0},
      "claims": {"retention_ms": 1600, "log_silence_ms": 4000},
      "ejection": {"failures": 9, "probe_after_ms": 10, "max_percent": 11}
    }
  },
  "teams": {"garden-center-7": {"services": ["pond-order"], "weight": 3,
                                "max_tasks": 12}},
  "drains": [{"guard": "127.0.0.1:7001"}, {"guard": "[::1]:7002"}]
})";

std::vector<std::string>
PathsOfErrors(const std::string& aText)
{
  const auto parsed = gpParseConfiguration(aText);
  BOOST_REQUIRE(!parsed.ok());
  BOOST_TEST((gpErrorCodeOf(parsed.status()) == gpErrorCode::BadConfiguration));
  std::vector<std::string> paths;
  for (const gpConfigurationError& error : gpErrorsOf(parsed.status())) {
    paths.push_back(error.path_);
  }
  return paths;
}

void
CheckErrors(const std::string& aText, const std::vector<std::string>& aPaths)
{
  BOOST_TEST_CONTEXT(aText)
  {
    BOOST_TEST(PathsOfErrors(aText) == aPaths,
               boost::test_tools::per_element());
  }
}

// A file with one service that has these fields and a region.
std::string
WithService(const std::string& aFields)
{
  return R"({"services": {"a": {"region": "r")" + aFields + "}}}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationFile)

BOOST_AUTO_TEST_CASE(ReadsEachField)
{
  const auto parsed = gpParseConfiguration(kWholeFile);
  BOOST_REQUIRE_MESSAGE(parsed.ok(), gpErrorText(parsed.status()));
  const auto& service = parsed->services_.at(gpServiceName("pond-order"));
  BOOST_TEST(service.region_.value_ == "gulf-south");
  BOOST_TEST((service.placement_ == gpPlacement::TwoChoices));
  BOOST_TEST(service.limits_.queueTasks_ == 5U);
  BOOST_TEST(service.limits_.jobTasks_ == 6U);
  BOOST_TEST(service.limits_.bodyBytes_ == 7U);
  BOOST_TEST(service.limits_.maxDeadline_.count() == 800);
  BOOST_TEST(service.limits_.defaultDeadline_.count() == 700);
  BOOST_TEST(service.retries_.maxAttempts_ == 2U);
  BOOST_TEST(service.retries_.budgetPercent_ == 0U);
  BOOST_TEST(service.claims_.retention_.count() == 1600);
  BOOST_TEST(service.claims_.logSilence_.count() == 4000);
  BOOST_TEST(service.ejection_.failures_ == 9U);
  BOOST_TEST(service.ejection_.probeAfter_.count() == 10);
  BOOST_TEST(service.ejection_.maxPercent_ == 11U);
  const auto& team = parsed->teams_.at(gpTeamName("garden-center-7"));
  BOOST_TEST(team.services_.contains(gpServiceName("pond-order")));
  BOOST_TEST(team.weight_ == 3U);
  BOOST_TEST(team.maxTasks_ == 12U);
  BOOST_TEST(parsed->drains_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AbsentFieldsTakeDefaults)
{
  const auto parsed = gpParseConfiguration(WithService(""));
  BOOST_REQUIRE(parsed.ok());
  const auto& service = parsed->services_.at(gpServiceName("a"));
  BOOST_TEST((service.placement_ == gpPlacement::ExpectedFinish));
  BOOST_TEST(service.limits_.jobTasks_ == gpLimits().jobTasks_);
  BOOST_TEST((service.claims_.logSilence_ == gpClaimSettings().logSilence_));
  BOOST_TEST(gpParseConfiguration("{}").ok());
}

BOOST_AUTO_TEST_CASE(CanonicalTextIsStable)
{
  const auto first = gpParseConfiguration(kWholeFile);
  BOOST_REQUIRE(first.ok());
  const std::string text = gpRenderConfiguration(*first);
  const auto second = gpParseConfiguration(text);
  BOOST_REQUIRE(second.ok());
  BOOST_TEST(gpRenderConfiguration(*second) == text);
  const auto third = gpParseConfiguration(gpIndentJson(text));
  BOOST_REQUIRE(third.ok());
  BOOST_TEST(gpRenderConfiguration(*third) == text);
}

BOOST_AUTO_TEST_CASE(ListsAllErrorsAtOnce)
{
  CheckErrors(R"({
    "services": {
      "a": {"region": "Gulf", "placement": "fastest", "limit": {},
            "limits": {"queue_tasks": 0, "job_tasks": 10001,
                       "body_bytes": 67108865, "max_deadline_ms": 1.5,
                       "default_deadline_ms": "10"},
            "retries": {"max_attempts": 101, "budget_percent": 1001},
            "claims": {"retention_ms": -1, "log_silence_ms": 4},
            "ejection": {"failures": 0, "probe_after_ms": 0,
                         "max_percent": 101}},
      "b": {}
    },
    "teams": {"t": {"services": ["nope", "a", "a"], "weight": 1001,
                    "max_tasks": 0}, "A_1": {}},
    "drains": [{"guard": "localhost:1"}, {}, 5],
    "extra": 1
  })",
              { "/services/a/region",
                "/services/a/placement",
                "/services/a/limits/queue_tasks",
                "/services/a/limits/job_tasks",
                "/services/a/limits/body_bytes",
                "/services/a/limits/max_deadline_ms",
                "/services/a/limits/default_deadline_ms",
                "/services/a/retries/max_attempts",
                "/services/a/retries/budget_percent",
                "/services/a/claims/retention_ms",
                "/services/a/claims/log_silence_ms",
                "/services/a/ejection/failures",
                "/services/a/ejection/probe_after_ms",
                "/services/a/ejection/max_percent",
                "/services/a/limit",
                "/services/b/region",
                "/teams/t/services/2",
                "/teams/t/services/0",
                "/teams/t/weight",
                "/teams/t/max_tasks",
                "/teams/A_1",
                "/drains/0/guard",
                "/drains/1/guard",
                "/drains/2",
                "/extra" });
}

BOOST_AUTO_TEST_CASE(ChecksFieldsAgainstEachOther)
{
  CheckErrors(WithService(R"(, "limits": {"max_deadline_ms": 9999})"),
              { "/services/a/limits/default_deadline_ms" });
  CheckErrors(WithService(R"(, "claims": {"retention_ms": 119999})"),
              { "/services/a/claims/retention_ms" });
  BOOST_TEST(
    gpParseConfiguration(WithService(R"(, "claims": {"retention_ms": 120000})"))
      .ok());
  CheckErrors(R"({"drains": [{"guard": "1.2.3.4:5"}, {"guard": "1.2.3.4:5"}]})",
              { "/drains/1/guard" });
}

BOOST_AUTO_TEST_CASE(FindsDuplicateKeys)
{
  CheckErrors(R"({"teams": {"t": {}, "u": {"weight": 1, "weight": 2},
                            "t": {}}, "drains": [], "drains": []})",
              { "/teams/u/weight", "/teams/t", "/drains" });
  CheckErrors(R"({"drains": [{"guard": "1.2.3.4:5"},
                             {"guard": "1.2.3.4:6", "guard": "1.2.3.4:7"}]})",
              { "/drains/1/guard" });
  // The same key, once written with an escape.
  CheckErrors(R"({"teams": {}, "te\u0061ms": {}})", { "/teams" });
}

BOOST_AUTO_TEST_CASE(ChecksNamesAndAddresses)
{
  const std::string longest(64, 'x');
  BOOST_TEST(
    gpParseConfiguration(R"({"teams": {")" + longest + R"(": {}}})").ok());
  CheckErrors(R"({"teams": {")" + longest + R"(x": {}}})",
              { "/teams/" + longest + "x" });
  CheckErrors(R"({"teams": {"a/b~c": {}, "": {}}})",
              { "/teams/a~1b~0c", "/teams/" });
  for (const char* address : { "1.2.3.4",
                               "1.2.3.4:",
                               "1.2.3.4:0",
                               "1.2.3.4:65536",
                               "1.2.3.4:080",
                               "1.2.3.4: 80",
                               "1.2.3.04:80",
                               "::1:80",
                               "[::01]:80",
                               "" }) {
    CheckErrors(R"({"drains": [{"guard": ")" + std::string(address) + "\"}]}",
                { "/drains/0/guard" });
  }
}

// Every proper prefix of a valid file must be rejected with a syntax error that
// says where the text ends.
BOOST_AUTO_TEST_CASE(RejectsATruncatedFile)
{
  for (std::size_t size = 0; size < kWholeFile.size(); ++size) {
    const auto parsed = gpParseConfiguration(kWholeFile.substr(0, size));
    BOOST_REQUIRE(!parsed.ok());
    const auto errors = gpErrorsOf(parsed.status());
    BOOST_REQUIRE(errors.size() == 1U);
    BOOST_TEST(errors[0].path_.empty());
  }
  const auto cut = gpParseConfiguration("{\n  \"teams\": {");
  BOOST_TEST(gpErrorText(cut.status()) ==
             "the whole text: expected valid JSON; error at line 2, column 13: "
             "incomplete JSON");
}

BOOST_AUTO_TEST_CASE(RejectsTextsThatAreNotAnObject)
{
  for (const char* text : { "[]", "1", "null", "{} {}", "{}x", "\xff" }) {
    CheckErrors(text, { "" });
  }
  CheckErrors(std::string(100, '['), { "" });
}

BOOST_AUTO_TEST_CASE(DiffNamesEachChangedField)
{
  const auto before = gpParseConfiguration(kWholeFile);
  BOOST_REQUIRE(before.ok());
  auto after = *before;
  after.services_.begin()->second.limits_.jobTasks_ = 99;
  after.drains_.erase(after.drains_.begin());
  const std::vector<gpConfigurationDifference> expected = {
    { R"(/drains[{"guard":"127.0.0.1:7001"}])",
      R"({"guard":"127.0.0.1:7001"})",
      std::nullopt },
    { "/services/pond-order/limits/job_tasks", "6", "99" },
  };
  BOOST_TEST((gpDiffConfigurations(*before, after) == expected));
  BOOST_TEST(gpDiffConfigurations(after, after).empty());
}

BOOST_AUTO_TEST_SUITE_END()
