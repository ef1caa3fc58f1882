#pragma once

/** \class gpTimelineFields
 * \brief JSON field names of an event log line.
 */
struct gpTimelineFields
{
  static constexpr const char* kEvent = "event";
  static constexpr const char* kTime = "time";
  static constexpr const char* kClock = "clock";
  static constexpr const char* kProcess = "process";
  static constexpr const char* kRole = "role";
  static constexpr const char* kIncarnation = "incarnation";
  static constexpr const char* kJob = "job";
  static constexpr const char* kTask = "task";
  static constexpr const char* kAttempt = "attempt";
  static constexpr const char* kService = "service";
  static constexpr const char* kKey = "key";
  static constexpr const char* kPeer = "peer";
  static constexpr const char* kNumber = "number";
  static constexpr const char* kDetail = "detail";
};
