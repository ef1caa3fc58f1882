#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpLoadOptions.h"
#include "gpLoadReport.h"
#include "gpLoadResult.h"

/// The experiment that the options name, with their values (Io, BadSettings).
absl::StatusOr<gpExperiment>
gpLoadExperiment(const gpExperimentOptions& aOptions);

/// Reads result files (Io, BadSettings).
absl::StatusOr<std::vector<gpLoadResult>>
gpLoadResultFiles(const std::vector<std::string>& aFiles);

/// Writes a file, and the folders that lead to it (Io).
absl::Status
gpWriteFile(const std::string& aFile, const std::string& aContent);
