#define BOOST_TEST_MODULE gpFuzzConfiguration
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

BOOST_AUTO_TEST_CASE(ReplaysTheCorpus)
{
  int replayed = 0;
  for (const auto& entry : std::filesystem::directory_iterator(GP_CORPUS)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string bytes{ std::istreambuf_iterator<char>(file), {} };
    BOOST_TEST_MESSAGE(entry.path().string());
    // Aborts the program if the input violates a property.
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                           bytes.size());
    ++replayed;
  }
  BOOST_TEST(replayed > 0);
}
