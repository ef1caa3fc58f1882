#define BOOST_TEST_MODULE gpFrameCorpus
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "gpFrameCheck.h"

BOOST_AUTO_TEST_CASE(EveryFileIsAcceptedOrRefusedAsItsNameSays)
{
  std::size_t good = 0;
  std::size_t bad = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(GP_FRAME_CORPUS)) {
    const std::string name = entry.path().filename().string();
    BOOST_TEST_CONTEXT(name)
    {
      std::ifstream file(entry.path(), std::ios::binary);
      const std::string bytes(std::istreambuf_iterator<char>(file), {});
      const bool isGood = name.starts_with("good-");
      BOOST_REQUIRE((isGood || name.starts_with("bad-")));
      BOOST_TEST(
        (gpCheckFrame(bytes) ==
         (isGood ? gpFrameCheckResult::Decoded : gpFrameCheckResult::Refused)));
      ++(isGood ? good : bad);
    }
  }
  BOOST_TEST(good >= 5U);
  BOOST_TEST(bad >= 3U);
}
