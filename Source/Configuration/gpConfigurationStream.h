#pragma once

#include <functional>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "gpCheckpointedFold.h"
#include "gpConfigurationRecord.h"
#include "gpMessage.h"

/// What became of a record, or of what another process told.
enum class gpConfigurationVerdict
{
  Accepted,     ///< the apply is in force
  TakenOver,    ///< the state of a checkpoint or of another process is in force
  Repeated,     ///< the apply is in force already; ignored
  Conflict,     ///< the apply was made from a version that isn't in force
  WrongVersion, ///< the apply's version isn't one more than its base
  BadFile,      ///< the apply's file has faults
  BadRecord,    ///< the record can't be read; skipped
};

/// The name of a verdict in logs, such as "wrong_version".
std::string_view
gpVerdictName(gpConfigurationVerdict aVerdict);

/** \class gpConfigurationEvent
 * \brief One judged record.
 */
struct gpConfigurationEvent
{
  gpConfigurationVerdict verdict_ = gpConfigurationVerdict::BadRecord;
  /// Offset of the record; for TakenOver the offset that the state is as of.
  gpLogOffset offset_;
  /// Of the apply or the state taken over; empty for BadRecord.
  gpApplyId applyId_;
  gpConfigVersion version_;
  /// The version in force after the record.
  gpConfigVersion inForce_;
  /// Why the apply was rejected or the record skipped; ok if it was not.
  absl::Status why_;
};

/** \class gpConfigurationStream
 * \brief Folds the stream `configuration` of the log.
 *
 * An apply is accepted if its base is the version in force at its place of the
 * log, its version is one more, and its file has no faults. All readers of the
 * log judge alike. Versions only grow.
 */
class gpConfigurationStream
  : public gpCheckpointedFold<gpVersionedConfiguration, gpApplyRecord>
{
public:
  using Handler = std::function<void(const gpConfigurationEvent&)>;

  /// The handler is called during Fold and Adopt, for each judged record in
  /// the log's order; it must not call them.
  explicit gpConfigurationStream(Handler aHandler);

  /// Takes over the configuration of another process if it's newer than the
  /// one in force; returns whether it was taken. The error is BadConfiguration
  /// if its text has faults.
  absl::StatusOr<bool> Adopt(const gpConfigurationNews& aNews);
  /// What this process tells others; nullopt if nothing is in force.
  std::optional<gpConfigurationNews> MakeNews() const;

private:
  absl::StatusOr<Record> Parse(const std::string& aData) const override;
  std::uint64_t ProgressOf(
    const gpVersionedConfiguration& aState) const override;
  void Apply(gpVersionedConfiguration& aState,
             const gpApplyRecord& aApply,
             gpLogOffset aOffset) override;
  void OnTakenOver(const gpVersionedConfiguration& aState,
                   gpLogOffset aAsOf) override;
  void OnBadRecord(gpLogOffset aOffset, const absl::Status& aWhy) override;

  Handler handler_;
};
