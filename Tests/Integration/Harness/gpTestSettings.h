#pragma once

#include <filesystem>

#include "gpProcessSettings.h"

/// Writes the settings file of an entry. Throws gpTestFailure.
void
gpWriteSettings(const std::filesystem::path& aFile,
                const gpEntrySettings& aSettings);

/// Writes the settings file of a guard. Throws gpTestFailure.
void
gpWriteSettings(const std::filesystem::path& aFile,
                const gpGuardSettings& aSettings);
