#include <array>
#include <initializer_list>
#include <iomanip>
#include <sstream>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "gpExplanation.h"
#include "gpSvgChart.h"

namespace {

namespace json = boost::json;

/** \class Phase
 * \brief A phase of a job's time, with its name in the output.
 */
struct Phase
{
  const char* name_;
  gpPercentiles gpPhaseTimes::*times_;
};

constexpr std::array kPhases = {
  Phase{ "waiting", &gpPhaseTimes::waiting_ },
  Phase{ "order", &gpPhaseTimes::order_ },
  Phase{ "run", &gpPhaseTimes::run_ },
  Phase{ "answer", &gpPhaseTimes::answer_ },
  Phase{ "total", &gpPhaseTimes::total_ },
};

constexpr int kNameWidth = 34;
constexpr int kNumberWidth = 9;

template<typename... Value>
void
WriteRow(std::ostream& aOut, const std::string& aName, const Value&... aValues)
{
  aOut << "  " << std::left << std::setw(kNameWidth) << aName << std::right;
  (void)std::initializer_list<int>{ (aOut << std::setw(kNumberWidth) << aValues,
                                     0)... };
  aOut << "\n";
}

std::string
Millis(gpMicros aTime)
{
  constexpr double kMicros = 1000;
  std::ostringstream out;
  out << std::fixed << std::setprecision(1)
      << static_cast<double>(aTime.count()) / kMicros;
  return out.str();
}

void
WriteCounts(std::ostream& aOut, const gpQueueExplanation& aQueue)
{
  const gpJobCounts& counts = aQueue.counts_;
  WriteRow(aOut, "jobs", "number");
  WriteRow(aOut, "submitted", counts.submitted_);
  WriteRow(aOut, "admitted", counts.admitted_);
  WriteRow(aOut, "completed in time", counts.inTime_);
  WriteRow(aOut, "completed late", counts.late_);
  for (const auto& [outcome, count] : counts.notCompleted_) {
    WriteRow(aOut, outcome, count);
  }
  for (const auto& [cause, count] : aQueue.waitedFor_) {
    WriteRow(aOut, "waited for a target: " + cause, count);
  }
  WriteRow(aOut, "straggling runs stopped", aQueue.stragglers_);
  WriteRow(aOut, "jobs in time after such a stop", aQueue.savedByStraggler_);
}

void
WriteTimes(std::ostream& aOut, const gpPhaseTimes& aTimes)
{
  WriteRow(aOut, "time of completed jobs, ms", "p50", "p90", "p99", "max");
  for (const Phase& phase : kPhases) {
    const gpPercentiles& times = aTimes.*phase.times_;
    WriteRow(aOut,
             phase.name_,
             Millis(times.p50_),
             Millis(times.p90_),
             Millis(times.p99_),
             Millis(times.max_));
  }
}

void
WriteSeconds(std::ostream& aOut, const gpQueueExplanation& aQueue)
{
  WriteRow(aOut, "second", "jobs", "in time", "late", "refused", "failed");
  for (const auto& [second, counts] : aQueue.bySecond_) {
    WriteRow(aOut,
             std::to_string(second),
             counts.submitted_,
             counts.inTime_,
             counts.late_,
             counts.CountOutcome("not_run"),
             counts.CountOutcome("failed"));
  }
}

json::object
JsonOf(const gpJobCounts& aCounts)
{
  json::object object;
  object["submitted"] = aCounts.submitted_;
  object["admitted"] = aCounts.admitted_;
  object["in_time"] = aCounts.inTime_;
  object["late"] = aCounts.late_;
  json::object& outcomes = object["not_completed"].emplace_object();
  for (const auto& [outcome, count] : aCounts.notCompleted_) {
    outcomes[outcome] = count;
  }
  return object;
}

json::object
JsonOf(const gpPercentiles& aTimes)
{
  json::object object;
  object["count"] = aTimes.count_;
  object["p50_us"] = aTimes.p50_.count();
  object["p90_us"] = aTimes.p90_.count();
  object["p99_us"] = aTimes.p99_.count();
  object["max_us"] = aTimes.max_.count();
  return object;
}

json::object
JsonOf(const gpQueueExplanation& aQueue)
{
  json::object object = JsonOf(aQueue.counts_);
  json::object& causes = object["waited_for"].emplace_object();
  for (const auto& [cause, count] : aQueue.waitedFor_) {
    causes[cause] = count;
  }
  object["stragglers_stopped"] = aQueue.stragglers_;
  object["in_time_after_straggler"] = aQueue.savedByStraggler_;
  json::object& times = object["times"].emplace_object();
  for (const Phase& phase : kPhases) {
    times[phase.name_] = JsonOf(aQueue.times_.*phase.times_);
  }
  json::object& seconds = object["seconds"].emplace_object();
  for (const auto& [second, counts] : aQueue.bySecond_) {
    seconds[std::to_string(second)] = JsonOf(counts);
  }
  return object;
}

} // namespace

std::string
gpExplanationText(const gpExplanation& aExplanation)
{
  std::ostringstream out;
  for (const auto& [name, queue] : aExplanation) {
    out << "queue " << name << "\n";
    WriteCounts(out, queue);
    WriteTimes(out, queue.times_);
    WriteSeconds(out, queue);
  }
  return out.str();
}

std::string
gpExplanationJson(const gpExplanation& aExplanation)
{
  json::object object;
  for (const auto& [name, queue] : aExplanation) {
    object[name] = JsonOf(queue);
  }
  return json::serialize(object) + "\n";
}

std::string
gpExplanationChart(const std::string& aName, const gpQueueExplanation& aQueue)
{
  gpLineChart chart{
    "Jobs of queue " + aName,
    "time since the first job, s",
    "jobs per second",
    false,
    false,
    { { "in time", {} }, { "late", {} }, { "refused", {} }, { "failed", {} } }
  };
  for (const auto& [second, counts] : aQueue.bySecond_) {
    const std::array values = { counts.inTime_,
                                counts.late_,
                                counts.CountOutcome("not_run"),
                                counts.CountOutcome("failed") };
    for (std::size_t line = 0; line < values.size(); ++line) {
      chart.lines_[line].points_.push_back(
        { static_cast<double>(second), static_cast<double>(values.at(line)) });
    }
  }
  return gpRenderChart(chart);
}
