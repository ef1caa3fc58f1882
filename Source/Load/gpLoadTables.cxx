#include "gpLoadTables.h"

#include <algorithm>

#include "gpLoadText.h"

namespace {

std::uint64_t
CountOf(const gpJobGroup& aGroup, gpLoadOutcome aOutcome)
{
  const auto found =
    aGroup.outcomes_.find(std::string(gpLoadOutcomeName(aOutcome)));
  return found == aGroup.outcomes_.end() ? 0 : found->second;
}

/// The lowest 99th percentile of the reference schedules.
gpMicros
BestReference(const gpLoadResult& aResult)
{
  gpMicros best = gpMicros::max();
  for (const gpReferenceResult& reference : aResult.references_) {
    best = std::min(best, reference.response_.p99_);
  }
  return aResult.references_.empty() ? gpMicros{ 0 } : best;
}

using Row = std::vector<std::string>;

std::string
Line(const Row& aRow)
{
  std::string line = "|";
  for (const std::string& cell : aRow) {
    line += " " + cell + " |";
  }
  return line + "\n";
}

/// A Markdown table; the first two columns are left-aligned texts, the others
/// right-aligned numbers.
std::string
Table(const Row& aHeader, const std::vector<Row>& aRows)
{
  std::string table = Line(aHeader) + "|---|---|";
  for (std::size_t column = 2; column < aHeader.size(); ++column) {
    table += "---:|";
  }
  table += "\n";
  for (const Row& row : aRows) {
    table += Line(row);
  }
  return table + "\n";
}

} // namespace

std::string
gpAnswerTable(const gpLoadResults& aResults)
{
  std::vector<Row> rows;
  for (const gpLoadResult* result : aResults) {
    const gpJobGroup& all = result->All();
    const std::uint64_t complete = CountOf(all, gpLoadOutcome::Complete);
    const std::uint64_t refused = CountOf(all, gpLoadOutcome::NotRun);
    const std::uint64_t failed = CountOf(all, gpLoadOutcome::Failed);
    const std::uint64_t unknown = CountOf(all, gpLoadOutcome::Unknown);
    const std::uint64_t others =
      all.jobs_ - complete - refused - failed - unknown;
    rows.push_back({ result->label_,
                     gpLoadPercentText(*result),
                     gpPercentText(result->offered_),
                     std::to_string(result->seed_),
                     std::to_string(all.jobs_),
                     std::to_string(complete),
                     std::to_string(refused),
                     std::to_string(failed),
                     std::to_string(unknown),
                     std::to_string(others),
                     std::to_string(result->WrongAnswers()),
                     gpPercentText(result->goodput_),
                     gpMillisText(result->refusals_.p50_),
                     gpMillisText(result->refusals_.p99_) });
  }
  return Table({ "run",
                 "load",
                 "offered",
                 "seed",
                 "jobs",
                 "complete",
                 "refused",
                 "failed",
                 "unknown",
                 "other",
                 "wrong",
                 "goodput",
                 "refusal p50 ms",
                 "refusal p99 ms" },
               rows);
}

std::string
gpResponseTable(const gpLoadResults& aResults)
{
  std::vector<Row> rows;
  for (const gpLoadResult* result : aResults) {
    const gpPercentiles& times = result->All().response_;
    const gpPercentiles& bounds = result->All().bound_;
    rows.push_back(
      { result->label_,
        gpLoadPercentText(*result),
        gpMillisText(times.p50_),
        gpMillisText(times.p90_),
        gpMillisText(times.p99_),
        gpMillisText(times.max_),
        gpMillisText(result->All().accepted_.p99_),
        gpMillisText(bounds.p99_),
        gpFixedText(gpRatioOf(times.mean_, bounds.mean_), 2),
        gpFixedText(gpRatioOf(times.p50_, bounds.p50_), 2),
        gpFixedText(gpRatioOf(times.p99_, bounds.p99_), 2),
        gpMillisText(BestReference(*result)),
        gpFixedText(gpRatioOf(times.p99_, BestReference(*result)), 2) });
  }
  return Table({ "run",
                 "load",
                 "p50 ms",
                 "p90 ms",
                 "p99 ms",
                 "max ms",
                 "p99 accepted",
                 "bound p99",
                 "mean / bound",
                 "p50 / bound",
                 "p99 / bound",
                 "reference p99",
                 "p99 / reference" },
               rows);
}

std::string
gpGroupTable(const gpLoadResults& aResults)
{
  std::vector<Row> rows;
  for (const gpLoadResult* result : aResults) {
    for (const gpJobGroup& group : result->groups_) {
      if (group.kind_ == "all") {
        continue;
      }
      rows.push_back(
        { result->label_ + ", " + gpLoadPercentText(*result),
          group.kind_ + " " + group.name_,
          std::to_string(group.jobs_),
          std::to_string(CountOf(group, gpLoadOutcome::Complete)),
          gpPercentText(group.completedShare_),
          gpMillisText(group.response_.p50_),
          gpMillisText(group.response_.p99_),
          gpFixedText(gpRatioOf(group.response_.p99_, group.bound_.p99_), 2) });
    }
  }
  return Table({ "run",
                 "jobs of",
                 "jobs",
                 "complete",
                 "work completed",
                 "p50 ms",
                 "p99 ms",
                 "p99 / bound" },
               rows);
}

std::string
gpReferenceTable(const gpLoadResults& aResults)
{
  std::vector<Row> rows;
  for (const gpLoadResult* result : aResults) {
    for (const gpReferenceResult& reference : result->references_) {
      rows.push_back({ result->label_ + ", " + gpLoadPercentText(*result),
                       reference.name_,
                       gpMillisText(reference.response_.mean_),
                       gpMillisText(reference.response_.p50_),
                       gpMillisText(reference.response_.p90_),
                       gpMillisText(reference.response_.p99_),
                       gpMillisText(reference.response_.max_) });
    }
  }
  return Table({ "run",
                 "reference schedule",
                 "mean ms",
                 "p50 ms",
                 "p90 ms",
                 "p99 ms",
                 "max ms" },
               rows);
}

std::string
gpMessageTable(const gpLoadResults& aResults)
{
  std::vector<Row> rows;
  for (const gpLoadResult* result : aResults) {
    const std::string run = result->label_ + ", " + gpLoadPercentText(*result);
    const double jobs = static_cast<double>(result->All().jobs_);
    for (const gpMessageKindCount& kindCount : result->messages_.kinds_) {
      rows.push_back({ run,
                       kindCount.kind_,
                       std::to_string(kindCount.count_),
                       std::to_string(kindCount.needed_),
                       std::to_string(kindCount.Excess()),
                       gpFixedText(static_cast<double>(kindCount.Excess()) /
                                     std::max(1.0, jobs),
                                   3) });
    }
    rows.push_back({ run,
                     "all",
                     "",
                     std::to_string(result->messages_.needed_),
                     std::to_string(result->messages_.excess_),
                     gpPercentText(result->messages_.ExcessShare()) });
  }
  return Table({ "run", "kind", "sent", "needed", "beyond", "beyond a job" },
               rows);
}

std::string
gpCodeTable(const gpLoadResults& aResults)
{
  std::vector<Row> rows;
  for (const gpLoadResult* result : aResults) {
    const std::string run = result->label_ + ", " + gpLoadPercentText(*result);
    for (const auto& [code, count] : result->codes_) {
      rows.push_back({ run, code, std::to_string(count) });
    }
    for (const auto& [fault, count] : result->faults_) {
      rows.push_back({ run, "wrong: " + fault, std::to_string(count) });
    }
  }
  return rows.empty() ? "" : Table({ "run", "last code", "jobs" }, rows);
}
