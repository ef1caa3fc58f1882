#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "gpLogClient.h"

/// Reads the answer to an append; BadRecord if it isn't of the form that
/// docs/log-service.md gives.
absl::StatusOr<gpLogOffset>
gpParseAppendAnswer(const std::string& aBody);

/// Reads the answer to a read; BadRecord as above, or if its offsets don't
/// ascend or lie outside of what it says the service keeps.
absl::StatusOr<gpLogBatch>
gpParseReadAnswer(const std::string& aBody);
