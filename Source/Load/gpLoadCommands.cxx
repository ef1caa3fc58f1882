#include "gpLoadCommands.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <utility>

#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpLoadFiles.h"
#include "gpLoadReport.h"
#include "gpLoadResultFile.h"
#include "gpLoadRunner.h"
#include "gpLoadSummary.h"
#include "gpMetricsReader.h"
#include "gpTimerService.h"

namespace {

constexpr gpMillis kProgressPeriod{ 1000 };

/// A unique run name, so that the submission keys are new to the system: it
/// answers known keys from stored results.
std::string
UniqueRunName(const gpExperiment& aExperiment)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis = std::chrono::duration_cast<gpMillis>(now).count();
  return aExperiment.name_ + "-" + std::to_string(millis);
}

absl::StatusOr<gpLoadPlan>
PlanOf(const gpExperimentOptions& aOptions, const std::string& aRunName)
{
  const auto experiment = gpLoadExperiment(aOptions);
  if (!experiment.ok()) {
    return experiment.status();
  }
  return gpMakeLoadPlan(
    *experiment, aRunName.empty() ? UniqueRunName(*experiment) : aRunName);
}

/** \class LoadRun
 * \brief Reads the metrics, runs the jobs, and reads the metrics again.
 */
class LoadRun
{
public:
  LoadRun(const gpLoadPlan& aPlan, const gpRunOptions& aOptions)
    : options_(aOptions)
    , plan_(aPlan)
    , timers_(loop_)
    , http_(loop_, aOptions.connections_)
    , runner_(timers_,
              http_,
              aPlan,
              { aOptions.entries_, aOptions.attempts_, aOptions.jobsInFlight_ })
  {
  }

  gpLoadResult Run()
  {
    loop_.OnTerminate([this] { OnTerminate(); });
    loop_.Post([this] { ReadBefore(); });
    loop_.Run();
    gpLoadResult result =
      gpEvaluateRun(plan_, runner_.GetRecords(), options_.label_);
    gpMessageTraffic traffic =
      gpTrafficBetween(options_.metricsAt_, before_, after_);
    gpAddMessages(plan_,
                  runner_.GetRecords(),
                  std::move(traffic.counts_),
                  traffic.unread_,
                  result);
    return result;
  }

private:
  void ReadBefore()
  {
    gpReadMetrics(
      http_, options_.metricsAt_, [this](gpMessageReadings aReadings) {
        before_ = std::move(aReadings);
        start_ = gpEventLoop::Now();
        isStarted_ = true;
        ShowProgressAfter(start_ + kProgressPeriod);
        runner_.Start([this] { ReadAfter(); });
      });
  }

  void ReadAfter()
  {
    gpReadMetrics(
      http_, options_.metricsAt_, [this](gpMessageReadings aReadings) {
        after_ = std::move(aReadings);
        loop_.Stop();
      });
  }

  void OnTerminate()
  {
    if (isStarted_) {
      runner_.Finish();
    } else {
      loop_.Stop();
    }
  }

  void ShowProgressAfter(gpTime aWhen)
  {
    timers_.Subscribe(aWhen, [this, aWhen] {
      ShowProgress();
      ShowProgressAfter(aWhen + kProgressPeriod);
    });
  }

  void ShowProgress() const
  {
    const gpLoadProgress progress = runner_.GetProgress();
    const gpMicros elapsed = gpEventLoop::Now() - start_;
    std::array<char, 160> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%5.1f s  arrived %llu of %zu  in flight %llu  complete %llu"
                  "  refused %llu  other %llu\n",
                  static_cast<double>(elapsed.count()) / 1e6,
                  static_cast<unsigned long long>(progress.arrived_),
                  plan_.jobs_.size(),
                  static_cast<unsigned long long>(progress.inFlight_),
                  static_cast<unsigned long long>(progress.complete_),
                  static_cast<unsigned long long>(progress.refused_),
                  static_cast<unsigned long long>(progress.others_));
    std::cerr << line.data();
  }

  const gpRunOptions& options_;
  const gpLoadPlan& plan_;
  gpEventLoop loop_;
  gpTimerService timers_;
  gpHttpClient http_;
  gpLoadRunner runner_;
  gpMessageReadings before_;
  gpMessageReadings after_;
  gpTime start_;
  bool isStarted_ = false;
};

} // namespace

absl::StatusOr<gpLoadResult>
gpRunLoad(const gpRunOptions& aOptions)
{
  const auto plan = PlanOf(aOptions.experiment_, aOptions.runName_);
  if (!plan.ok()) {
    return plan.status();
  }
  const gpLoadResult result = LoadRun(*plan, aOptions).Run();
  std::cout << gpLoadSummaryText(result);
  if (!aOptions.out_.empty()) {
    absl::Status written =
      gpWriteFile(aOptions.out_, gpFormatLoadResult(result));
    if (!written.ok()) {
      return written;
    }
  }
  return result;
}

absl::Status
gpPrintPlan(const gpPlanOptions& aOptions)
{
  const auto plan = PlanOf(aOptions.experiment_, "plan");
  if (!plan.ok()) {
    return plan.status();
  }
  std::cout << gpPlanSummaryText(*plan);
  return absl::OkStatus();
}

absl::Status
gpWriteReport(const gpReportOptions& aOptions)
{
  const auto results = gpLoadResultFiles(aOptions.results_);
  if (!results.ok()) {
    return results.status();
  }
  for (const gpReportFile& file : gpRenderLoadReport(*results)) {
    const std::filesystem::path path =
      std::filesystem::path(aOptions.out_) / file.name_;
    absl::Status written = gpWriteFile(path.string(), file.content_);
    if (!written.ok()) {
      return written;
    }
    std::cout << path.string() << "\n";
  }
  return absl::OkStatus();
}
