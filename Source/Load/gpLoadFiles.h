#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpLoadOptions.h"
#include "gpLoadReport.h"
#include "gpLoadResult.h"

/// Reads the experiment file of the options and applies their overrides (Io,
/// BadSettings).
absl::StatusOr<gpExperiment>
gpLoadExperiment(const gpExperimentOptions& aOptions);

/// Reads result files (Io, BadSettings).
absl::StatusOr<std::vector<gpLoadResult>>
gpLoadResultFiles(const std::vector<std::string>& aFiles);

/// Writes a file and creates missing parent folders (Io).
absl::Status
gpWriteFile(const std::string& aFile, const std::string& aContent);
