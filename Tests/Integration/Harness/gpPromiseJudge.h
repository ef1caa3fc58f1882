#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gpTestJob.h"

/** \class gpPromiseJudge
 * \brief Compares what callers were told with the journals of the targets.
 *
 * What a failure promises of the tasks that it doesn't list must hold for ever,
 * so that is looked at in the end; 'not run' must be true when it's said.
 */
class gpPromiseJudge
{
public:
  /// Starts by "<submission>/<task>", as gpTestCluster::ReadStarts counts them.
  using Starts = std::map<std::string, std::size_t>;

  /// A caller got this answer while the journals counted these starts.
  void Note(const gpTestJob& aJob,
            const gpTestAnswer& aAnswer,
            const Starts& aStarts);
  /// The promises that were broken, a line each, by the journals of the end;
  /// empty if all were kept.
  std::string Judge(const Starts& aStarts) const;

private:
  struct Noted
  {
    gpTestJob job_;
    gpTestAnswer answer_;
    Starts starts_;
  };

  std::vector<std::string> FindBroken(const Noted& aNoted,
                                      const Starts& aStarts) const;
  bool IsFailedBefore(const Noted& aNoted) const;

  std::vector<Noted> noted_;
};
