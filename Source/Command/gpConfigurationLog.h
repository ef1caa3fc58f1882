#pragma once

#include <map>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "gpConfigurationStream.h"
#include "gpLogAccess.h"

/// The result of an apply.
enum class gpApplyOutcome
{
  Applied,  ///< the file is in force, or was until a later apply replaced it
  Conflict, ///< the base isn't the version in force; nothing was changed
  Rejected, ///< the record is in the log, but its readers ignore it as invalid
  NotWritten, ///< it is certain that the record isn't and won't be in the log
  Unknown,    ///< the record may be in the log, or may still be written later
};

/** \class gpApplyResult
 * \brief The result of an apply, and the version in force after it.
 */
struct gpApplyResult
{
  gpApplyOutcome outcome_ = gpApplyOutcome::NotWritten;
  /// The version assigned to the file if it was applied, else 0.
  gpConfigVersion version_;
  /// The newest version known to be in force, and the ID of its apply.
  gpConfigVersion inForce_;
  gpApplyId inForceApply_;
  /// Why the file wasn't applied; ok if it was.
  absl::Status error_;
};

/** \class gpConfigurationLog
 * \brief Reads the configuration in force from the log, and appends applies.
 */
class gpConfigurationLog
{
public:
  explicit gpConfigurationLog(gpLogAccess& aLog);

  /// Reads the log to its end. Returns the error of gpLogAccess::Read if a read
  /// fails, LogUnavailable if the service returns no records before the end of
  /// the log, and NotFound if the records that are left don't show the version
  /// in force.
  absl::Status ReadToEnd();
  /// The configuration in force at the last record read; version 0 if none is.
  const gpVersionedConfiguration& GetInForce() const;

  /// Puts a file in force if aBase is the version in force. Without aBase, the
  /// base is the version in force at the end of the log. If the response to the
  /// append is lost, reads the log to find out whether the record is there, and
  /// appends it again if it isn't. This is safe, because readers ignore a
  /// second record with the same apply ID.
  gpApplyResult Apply(const gpConfiguration& aFile,
                      const gpApplyId& aApplyId,
                      std::optional<gpConfigVersion> aBase);

private:
  void OnEvent(const gpConfigurationEvent& aEvent);
  /// Reads and folds the next records, and sets aEnd to the offset of the next
  /// record that will be written to the log.
  absl::Status ReadBatch(gpLogOffset& aEnd);
  /// Appends a record and reads the log until a verdict on it is found, with a
  /// limited number of attempts.
  gpApplyResult AppendAndConfirm(const std::string& aRecord,
                                 const gpApplyId& aApplyId);
  std::optional<gpApplyResult> FindVerdict(const gpApplyId& aApplyId) const;
  gpApplyResult MakeResult(gpApplyOutcome aOutcome, absl::Status aError) const;

  gpLogAccess& log_;
  gpConfigurationStream stream_;
  /// The decisive verdict on each apply: its acceptance, if there is one, else
  /// its first rejection. A record that was appended twice has several
  /// verdicts.
  std::map<gpApplyId, gpConfigurationEvent> verdicts_;
};
