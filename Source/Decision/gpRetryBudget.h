#pragma once

#include <algorithm>
#include <cstdint>

/** \class gpRetryBudget
 * \brief Bounds retries to a share of the first attempts.
 */
class gpRetryBudget
{
public:
  /// A first attempt earns aPercent hundredths of a retry.
  void NoteFirst(std::uint32_t aPercent)
  {
    credit_ = std::min(credit_ + aPercent, kMaxCredit);
  }
  /// Takes one retry if the budget has it.
  bool TakeRetry()
  {
    if (credit_ < kRetryCost) {
      return false;
    }
    credit_ -= kRetryCost;
    return true;
  }

private:
  static constexpr std::uint32_t kRetryCost = 100;
  /// Credit for 100 retries; enough for a burst after a quiet time.
  static constexpr std::uint32_t kMaxCredit = 100 * kRetryCost;

  std::uint32_t credit_ = kMaxCredit;
};
