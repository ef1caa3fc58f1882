#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "gpTestCluster.h"

/** \class gpOperationsLoad
 * \brief Keeps a fixed number of jobs in flight and checks their answers.
 *
 * Each job has one task and goes to the same entry. Every second job has a key.
 */
class gpOperationsLoad
{
public:
  gpOperationsLoad(gpTestCluster& aCluster,
                   std::size_t aEntry,
                   std::size_t aJobs,
                   gpMillis aRunTime);

  /// Submits a new job for each answered one, until the condition is true.
  /// Throws gpTestFailure if it isn't true within kTestTimeout.
  void RunUntil(const std::string& aWhat,
                const std::function<bool()>& aCondition);
  void RunFor(gpMillis aTime);
  /// Waits for the answers of all jobs, without submitting more.
  void Finish();

  std::size_t CountComplete() const { return complete_; }
  /// A description of each answer that is not complete or has wrong results.
  const std::vector<std::string>& GetIncorrectAnswers() const
  {
    return incorrect_;
  }

private:
  struct Submitted
  {
    std::string name_;
    gpTestCall call_;
  };

  Submitted SubmitNext();
  void CheckAnswer(Submitted& aSubmitted);
  void Step();

  gpTestCluster& cluster_;
  std::size_t entry_;
  gpMillis runTime_;
  std::size_t count_ = 0;
  std::vector<Submitted> submitted_;
  std::size_t complete_ = 0;
  std::vector<std::string> incorrect_;
};
