#pragma once

#include <functional>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "gpCheckpointedFold.h"
#include "gpConfigurationRecord.h"
#include "gpMessage.h"

/// The result of processing a record, or an update from another process.
enum class gpConfigurationVerdict
{
  Accepted,     ///< the apply is in force
  TakenOver,    ///< the state of a checkpoint or of another process is in force
  Repeated,     ///< the apply with this ID is already in force; ignored
  Conflict,     ///< the apply's base isn't the version in force; rejected
  WrongVersion, ///< the apply's version isn't one more than its base; rejected
  BadFile,      ///< the apply's configuration is invalid; rejected
  BadRecord,    ///< the record can't be parsed; skipped
};

/// The name of a verdict in the event log, such as "wrong_version".
std::string_view
gpVerdictName(gpConfigurationVerdict aVerdict);

/** \class gpConfigurationEvent
 * \brief The verdict on one record or update, and the version in force after
 * it.
 */
struct gpConfigurationEvent
{
  gpConfigurationVerdict verdict_ = gpConfigurationVerdict::BadRecord;
  /// Offset of the record; for TakenOver the last offset that the new state
  /// includes.
  gpLogOffset offset_;
  /// ID and version of the apply, or of the state taken over; empty and 0 for
  /// BadRecord.
  gpApplyId applyId_;
  gpConfigVersion version_;
  /// The version in force after the record.
  gpConfigVersion inForce_;
  /// Why the apply was rejected or the record skipped; ok if it was not.
  absl::Status error_;
};

/** \class gpConfigurationStream
 * \brief Folds the stream `configuration` of the log.
 *
 * An apply is accepted if its base is the version in force at its position in
 * the log, its version is one more than the base, and its configuration is
 * valid. The rule is deterministic, so all readers of the log accept the same
 * applies. The version in force never decreases.
 */
class gpConfigurationStream
  : public gpCheckpointedFold<gpVersionedConfiguration, gpApplyRecord>
{
public:
  using Handler = std::function<void(const gpConfigurationEvent&)>;

  /// The handler is called from within Fold and Adopt, once for each verdict
  /// and in the order of the log. It must not call Fold or Adopt.
  explicit gpConfigurationStream(Handler aHandler);

  /// Takes over the configuration from another process if it is newer than the
  /// one in force here, or has the same version and closes a gap in the records
  /// that this process has read. Returns whether it was taken over, or
  /// BadConfiguration if it is invalid.
  absl::StatusOr<bool> Adopt(const gpConfigurationUpdate& aUpdate);
  /// The update with which this process sends its configuration to others;
  /// nullopt if no configuration is in force.
  std::optional<gpConfigurationUpdate> MakeUpdate() const;

private:
  absl::StatusOr<Record> Parse(const std::string& aData) const override;
  std::uint64_t ProgressOf(
    const gpVersionedConfiguration& aState) const override;
  void Apply(gpVersionedConfiguration& aState,
             const gpApplyRecord& aApply,
             gpLogOffset aOffset) override;
  void OnStateReplaced(const gpVersionedConfiguration& aState,
                       gpLogOffset aAsOf) override;
  void OnBadRecord(gpLogOffset aOffset, const absl::Status& aError) override;

  Handler handler_;
};
