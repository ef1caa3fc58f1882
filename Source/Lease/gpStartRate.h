#pragma once

#include "gpTime.h"

/** \class gpStartRate
 * \brief How often tasks of one queue start at a target: an exponentially
 * decaying average.
 */
class gpStartRate
{
public:
  /// A task started. Tasks that start together count once.
  void NoteStart(gpTime aNow);
  /// The probability that a task started within aSpan before aNow, if starts
  /// are independent of what happens at aNow.
  double ChanceOfStart(gpMillis aSpan, gpTime aNow) const;

private:
  /// The rate at aNow, in 1/s.
  double At(gpTime aNow) const;

  double rate_ = 0;
  gpTime notedAt_;
};
