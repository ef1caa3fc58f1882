#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "gpLogClient.h"

/// Parses the response body of an append; fails with BadRecord if it does not
/// have the form that docs/log-service.md specifies.
absl::StatusOr<gpLogOffset>
gpParseAppendAnswer(const std::string& aBody);

/// Parses the response body of a read; fails with BadRecord as above, or if the
/// offsets of the records do not ascend or lie outside of the range from
/// 'earliest' to 'next'.
absl::StatusOr<gpLogBatch>
gpParseReadAnswer(const std::string& aBody);
