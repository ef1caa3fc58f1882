#define BOOST_TEST_MODULE gpLoadPlan
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

#include "gpError.h"
#include "gpExperimentFile.h"
#include "gpLoadPlan.h"

namespace {

const std::string kFile = R"({
  "name": "pond", "service": "pond-order", "seed": 7, "duration_ms": 2000,
  "load": 0.5, "time_scale": 0.5, "deadline_ms": 3000,
  "job_sizes": [{"share": 9, "min": 1}, {"share": 1, "min": 2, "max": 30}],
  "run_times": [{"share": 9, "min_ms": 50, "max_ms": 1000},
                {"share": 1, "min_ms": 2000, "max_ms": 6000}],
  "declared": {"factor": 10}, "body_bytes": {"min": 64, "max": 512},
  "teams": [{"name": "a", "share": 3}, {"name": "b", "share": 1}],
  "idempotent_share": 0.5, "keyless_share": 0.5
})";

gpExperiment
Experiment(const std::vector<gpOverride>& aOverrides = {})
{
  return gpParseExperiment(kFile, aOverrides).value();
}

gpLoadPlan
Plan(const std::vector<gpOverride>& aOverrides = {})
{
  return gpMakeLoadPlan(Experiment(aOverrides), "run").value();
}

double
WorkOf(const gpLoadPlan& aPlan)
{
  double work = 0.0;
  for (const gpPlannedJob& job : aPlan.jobs_) {
    work += static_cast<double>(job.Work().count()) / 1000.0;
  }
  return work;
}

std::size_t
ArrivalsBetween(const gpLoadPlan& aPlan, gpMillis aFrom, gpMillis aTo)
{
  std::size_t count = 0;
  for (const gpPlannedJob& job : aPlan.jobs_) {
    count += aFrom <= job.arrival_ && job.arrival_ < aTo ? 1 : 0;
  }
  return count;
}

std::string
ProblemOf(const std::string& aField, const std::string& aValue)
{
  const auto experiment = gpParseExperiment(kFile, { { aField, aValue } });
  BOOST_TEST((gpErrorCodeOf(experiment.status()) == gpErrorCode::BadSettings));
  return gpErrorText(experiment.status());
}

} // namespace

BOOST_AUTO_TEST_CASE(PlanIsTheSameForASeed)
{
  const gpLoadPlan plan = Plan();
  BOOST_TEST(plan.jobs_.size() == 125U);
  const gpPlannedJob& first = plan.jobs_.at(0);
  BOOST_TEST(first.arrival_.count() == 31303);
  BOOST_TEST(first.tasks_.at(0).runTime_.count() == 117);
  BOOST_TEST(first.tasks_.at(0).declaredRunTime_->count() == 484);
  BOOST_TEST(plan.jobs_.at(50).arrival_.count() == 693090);
  BOOST_TEST(plan.jobs_.at(50).tasks_.size() == 1U);
  BOOST_TEST(plan.jobs_.at(50).Work().count() == 37);
  BOOST_TEST(plan.jobs_.back().arrival_.count() == 1999106);
  const gpLoadPlan other = Plan({ { "seed", "8" } });
  BOOST_TEST((other.jobs_.at(0).arrival_ != first.arrival_));
}

BOOST_AUTO_TEST_CASE(PlanOffersTheLoad)
{
  for (const std::string load : { "0.5", "0.8", "1.3" }) {
    const gpLoadPlan plan =
      Plan({ { "load", load }, { "duration_ms", "20000" } });
    const double offered =
      WorkOf(plan) / (20.0 * plan.experiment_.deployment_.Capacity());
    BOOST_TEST(offered == std::stod(load), boost::test_tools::tolerance(0.01));
  }
  const gpLoadPlan rate = Plan({ { "jobs_per_second", "70" } });
  BOOST_TEST(rate.jobs_.size() == 140U);
}

BOOST_AUTO_TEST_CASE(JobsDoNotDependOnTheLoad)
{
  const gpLoadPlan low = Plan();
  const gpLoadPlan high = Plan({ { "load", "0.9" } });
  BOOST_TEST(high.jobs_.size() > low.jobs_.size());
  for (std::size_t index = 0; index < low.jobs_.size(); ++index) {
    BOOST_TEST((low.jobs_[index].Work() == high.jobs_[index].Work()));
  }
}

BOOST_AUTO_TEST_CASE(BurstsRaiseTheRate)
{
  const gpLoadPlan plan =
    Plan({ { "duration_ms", "20000" },
           { "bursts",
             R"([{"from_ms": 5000, "to_ms": 10000, "factor": 3},
                 {"from_ms": 15000, "to_ms": 20000, "factor": 0}])" } });
  const std::size_t base =
    ArrivalsBetween(plan, gpMillis{ 0 }, gpMillis{ 5000 });
  const std::size_t burst =
    ArrivalsBetween(plan, gpMillis{ 5000 }, gpMillis{ 10000 });
  const std::size_t silence =
    ArrivalsBetween(plan, gpMillis{ 15000 }, gpMillis{ 20000 });
  BOOST_TEST(burst > 2 * base);
  BOOST_TEST(burst < 4 * base);
  BOOST_TEST(silence == 0U);
}

BOOST_AUTO_TEST_CASE(JobsKeepToTheExperiment)
{
  const gpLoadPlan plan = Plan({ { "duration_ms", "20000" } });
  std::set<std::string> keys;
  std::size_t keyless = 0;
  gpMicros last{ 0 };
  for (const gpPlannedJob& job : plan.jobs_) {
    BOOST_TEST((job.arrival_ >= last));
    last = job.arrival_;
    BOOST_TEST((job.key_.has_value() || job.idempotent_));
    keyless += job.key_.has_value() ? 0 : 1;
    keys.insert(job.key_.value_or(gpSubmissionKey{}).value_);
    for (const gpPlannedTask& task : job.tasks_) {
      const auto run = static_cast<double>(task.runTime_.count());
      const auto declared = static_cast<double>(task.declaredRunTime_->count());
      BOOST_TEST((run >= 25.0 && run <= 3000.0));
      BOOST_TEST(
        (declared >= run / 10.0 - 1.0 && declared <= run * 10.0 + 1.0));
      BOOST_TEST((task.bodyBytes_ >= 64U && task.bodyBytes_ <= 512U));
    }
  }
  BOOST_TEST(keyless > 0U);
  BOOST_TEST(keys.size() == plan.jobs_.size() - keyless + 1);
  BOOST_TEST((plan.experiment_.ScaledDeadline() == gpMillis{ 1500 }));
}

BOOST_AUTO_TEST_CASE(TooManyJobsAreRefused)
{
  const auto plan = gpMakeLoadPlan(Experiment({ { "max_jobs", "10" } }), "run");
  BOOST_TEST((gpErrorCodeOf(plan.status()) == gpErrorCode::BadSettings));
}

BOOST_AUTO_TEST_CASE(BadFieldsAreNamed)
{
  BOOST_TEST(ProblemOf("speling", "1") == "speling: is not a known field");
  BOOST_TEST(ProblemOf("load", "many").find("load: is not a number") == 0U);
  BOOST_TEST(ProblemOf("deployment.targets", R"([{"slots": 0}])")
               .find("deployment.targets[0].slots: is not a whole") == 0U);
  BOOST_TEST(ProblemOf("job_sizes", R"([{"min": 3, "max": 2}])") ==
             "job_sizes[0].max: is less than min");
  BOOST_TEST(ProblemOf("teams", R"([{"name": "a", "share": 0}])") ==
             "teams: has no share above 0");
  BOOST_TEST(ProblemOf("load.x", "1") == "load.x: no such field");
  BOOST_TEST(!gpParseExperiment("{", {}).ok());
  BOOST_TEST(!gpParseExperiment("[]", {}).ok());
}
