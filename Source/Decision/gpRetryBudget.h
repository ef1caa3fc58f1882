#pragma once

#include <algorithm>
#include <cstdint>

/** \class gpRetryBudget
 * \brief Limits retries to a percentage of the first attempts.
 */
class gpRetryBudget
{
public:
  /// Adds aPercent hundredths of a retry to the budget, for a first attempt.
  void NoteFirst(std::uint32_t aPercent)
  {
    credit_ = std::min(credit_ + aPercent, kMaxCredit);
  }
  /// Takes one retry from the budget. False if not enough is left.
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
  /// Credit for 100 retries; enough for a burst of retries after a period with
  /// few first attempts.
  static constexpr std::uint32_t kMaxCredit = 100 * kRetryCost;

  std::uint32_t credit_ = kMaxCredit;
};
