#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gpTestJob.h"

/** \class gpAnswerChecker
 * \brief Compares the answers that callers received with the journals of the
 * targets.
 *
 * A 'failed' answer guarantees that tasks missing in may_have_run never run, so
 * it's compared with the starts at the end of the test. 'not_run' is compared
 * with the starts at the time of the answer.
 */
class gpAnswerChecker
{
public:
  /// Starts by "<submission>/<task>", as gpTestCluster::ReadStarts counts them.
  using Starts = std::map<std::string, std::size_t>;

  /// Records an answer and the starts in the journals at that time.
  void Record(const gpTestJob& aJob,
              const gpTestAnswer& aAnswer,
              const Starts& aStarts);
  /// Compares all recorded answers with the starts at the end of the test.
  /// Returns one line per violation; empty if there is none.
  std::string FindViolations(const Starts& aStarts) const;

private:
  struct RecordedAnswer
  {
    gpTestJob job_;
    gpTestAnswer answer_;
    Starts starts_;
  };

  std::vector<std::string> FindViolationsIn(const RecordedAnswer& aRecorded,
                                            const Starts& aStarts) const;
  bool IsFailedBefore(const RecordedAnswer& aRecorded) const;

  std::vector<RecordedAnswer> recorded_;
};
