#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "gpTestCluster.h"

/** \class gpOperationsLoad
 * \brief Keeps a number of jobs submitted, and judges their answers.
 *
 * Every second job has a key. All go to one entry, one task each.
 */
class gpOperationsLoad
{
public:
  gpOperationsLoad(gpTestCluster& aCluster,
                   std::size_t aEntry,
                   std::size_t aJobs,
                   gpMillis aRunTime);

  /// Submits a new job for each that has its answer, until it's true. Throws
  /// gpTestFailure if it doesn't become true in kTestPatience.
  void RunUntil(const std::string& aWhat, const std::function<bool()>& aIsTrue);
  void RunFor(gpMillis aTime);
  /// Waits for the answers of all jobs; submits no more.
  void Finish();

  std::size_t CountWhole() const { return whole_; }
  /// Answers that are not the whole answer to their own job, in words.
  const std::vector<std::string>& GetOthers() const { return others_; }

private:
  struct Submitted
  {
    std::string name_;
    gpTestCall call_;
  };

  Submitted SubmitNext();
  void Judge(Submitted& aSubmitted);
  void Step();

  gpTestCluster& cluster_;
  std::size_t entry_;
  gpMillis runTime_;
  std::size_t count_ = 0;
  std::vector<Submitted> submitted_;
  std::size_t whole_ = 0;
  std::vector<std::string> others_;
};
