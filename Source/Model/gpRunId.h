#pragma once

#include <cstdint>
#include <string>
#include <utility>

/** \class gpRunId
 * \brief Identifies one run of one task, also in the calls to targets.
 */
struct gpRunId
{
  /// Name of the task; the same in each submission of its job.
  std::string task_;
  /// Increases with each run of the task, so that targets can refuse outdated
  /// runs.
  std::uint64_t number_ = 0;

  // A false positive of clang-tidy 14, see gpStrongType.h.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpRunId&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const gpRunId& aId)
  {
    return H::combine(std::move(aState), aId.task_, aId.number_);
  }
};
