#pragma once

/// The targets that a task may use, see gpQueueContainment.
enum class gpPlacementScope
{
  AnyTarget,
  SetApart, ///< targets that are set apart for queues whose tasks crash targets
  Others,   ///< all but the targets set apart
};
