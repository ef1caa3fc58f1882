#pragma once

#include <functional>
#include <string>

#include "gpStorePort.h"
#include "gpTimerService.h"

/** \class gpStoreWriter
 * \brief Keeps one record of a process in the store: writes it, and repeats a
 * write that failed after a pause.
 */
class gpStoreWriter
{
public:
  /// aFailed is called for the first failure of a series.
  gpStoreWriter(gpTimerService& aTimers,
                gpStorePort& aStore,
                gpStoreTopic aTopic,
                std::string aKey,
                std::function<void(const absl::Status&)> aFailed);

  /// Replaces the value that is to be stored.
  void Write(std::string aValue);

private:
  void Send();
  void OnStored(const std::string& aValue, const absl::Status& aStatus);

  gpTimerService& timers_;
  gpStorePort& store_;
  gpStoreTopic topic_;
  gpStoreRecord record_;
  std::function<void(const absl::Status&)> failed_;
  /// Whether a write is in flight or waits to be repeated.
  bool isSending_ = false;
  bool isFailing_ = false;
};
