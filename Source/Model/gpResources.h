#pragma once

#include <algorithm>
#include <cstdint>

/** \class gpResources
 * \brief Resources that a task needs, or that a target has.
 */
struct gpResources
{
  /// CPU, in thousandths of a core.
  std::uint64_t milliCores_ = 0;
  /// Memory in MiB.
  std::uint64_t memoryMb_ = 0;
  /// Accelerators, such as GPUs.
  std::uint64_t accelerators_ = 0;

  bool operator==(const gpResources&) const = default;

  bool Covers(const gpResources& aNeed) const
  {
    return milliCores_ >= aNeed.milliCores_ && memoryMb_ >= aNeed.memoryMb_ &&
           accelerators_ >= aNeed.accelerators_;
  }

  void Add(const gpResources& aMore)
  {
    milliCores_ += aMore.milliCores_;
    memoryMb_ += aMore.memoryMb_;
    accelerators_ += aMore.accelerators_;
  }

  /// Subtracts; a resource that would become negative becomes 0.
  void Take(const gpResources& aLess)
  {
    milliCores_ -= std::min(milliCores_, aLess.milliCores_);
    memoryMb_ -= std::min(memoryMb_, aLess.memoryMb_);
    accelerators_ -= std::min(accelerators_, aLess.accelerators_);
  }
};
