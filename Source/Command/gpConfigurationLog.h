#pragma once

#include <map>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "gpConfigurationStream.h"
#include "gpLogAccess.h"

/// How an apply ended.
enum class gpApplyEnd
{
  Applied,    ///< the file is or was in force
  Conflict,   ///< another version was in force; nothing was changed
  Rejected,   ///< the log's readers don't accept the record
  NotWritten, ///< the record was certainly not written
  Unknown,    ///< the record may have been written, or may be later
};

/** \class gpApplyResult
 * \brief How an apply ended, and what's in force.
 */
struct gpApplyResult
{
  gpApplyEnd end_ = gpApplyEnd::NotWritten;
  /// The version that the file got, if it was applied.
  gpConfigVersion version_;
  /// The newest version known to be in force, and its apply.
  gpConfigVersion inForce_;
  gpApplyId inForceApply_;
  /// Why it wasn't applied; ok if it was.
  absl::Status why_;
};

/** \class gpConfigurationLog
 * \brief Reads and changes the configuration in the log.
 */
class gpConfigurationLog
{
public:
  explicit gpConfigurationLog(gpLogAccess& aLog);

  /// Reads the log to its end. LogUnavailable if it doesn't answer; NotFound
  /// if the log no longer holds what tells the version in force.
  absl::Status ReadToEnd();
  /// The configuration in force at the end; version 0 if there's none.
  const gpVersionedConfiguration& GetInForce() const;

  /// Puts a file in force if the base is the version in force (without a
  /// base, the one at the end of the log). A lost answer is settled by reading
  /// the log; a record that isn't found there is appended again, which is
  /// harmless as a repeated record is ignored.
  gpApplyResult Apply(const gpConfiguration& aFile,
                      const gpApplyId& aApplyId,
                      std::optional<gpConfigVersion> aBase);

private:
  void OnEvent(const gpConfigurationEvent& aEvent);
  absl::Status ReadBatch(gpLogOffset& aEnd);
  gpApplyResult Settle(const std::string& aRecord, const gpApplyId& aApplyId);
  std::optional<gpApplyResult> FindVerdict(const gpApplyId& aApplyId) const;
  gpApplyResult MakeResult(gpApplyEnd aEnd, absl::Status aWhy) const;

  gpLogAccess& log_;
  gpConfigurationStream stream_;
  /// What decides each apply: its acceptance, else its first rejection.
  std::map<gpApplyId, gpConfigurationEvent> verdicts_;
};
