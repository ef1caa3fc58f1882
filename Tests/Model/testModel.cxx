#define BOOST_TEST_MODULE gpModel
#include <boost/test/unit_test.hpp>

#include "gpDigest.h"
#include "gpError.h"
#include "gpIds.h"
#include "gpMessage.h"
#include "gpPeer.h"
#include "gpSubmission.h"

BOOST_AUTO_TEST_CASE(ErrorKeepsItsCode)
{
  const absl::Status status =
    gpMakeError(gpErrorCode::VersionConflict, "made from 3, in force is 4");
  BOOST_TEST(!status.ok());
  BOOST_TEST((gpErrorCodeOf(status) == gpErrorCode::VersionConflict));
  BOOST_TEST(gpErrorText(status) == "made from 3, in force is 4");
}

BOOST_AUTO_TEST_CASE(EveryCodeHasItsOwnName)
{
  BOOST_TEST(gpErrorName(gpErrorCode::None) == "none");
  BOOST_TEST(gpErrorName(gpErrorCode::ReplayedLink) == "replayed_link");
  BOOST_TEST(gpErrorName(gpErrorCode::Internal) == "internal");
  BOOST_TEST(gpFailureName(gpFailureCode::NotFound) == "not_found");
  BOOST_TEST(gpOutcomeName(gpOutcome::Unknown) == "unknown");
}

BOOST_AUTO_TEST_CASE(DigestIsStable)
{
  BOOST_TEST(gpDigest::Of("").ToHex() == "99aa06d3014798d86001c324468d497f");
  BOOST_TEST((gpDigest::Of("a") != gpDigest::Of("b")));
}
