#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "gpFrameCodec.h"
#include "gpSampleMessages.h"

namespace {

void
WriteFile(const std::filesystem::path& aFile, const std::string& aBytes)
{
  std::ofstream(aFile, std::ios::binary) << aBytes;
}

std::string
FrameOf(std::vector<gpMessage> aMessages)
{
  return gpFrameCodec::EncodeFrame({ { 1, 2, 3 }, std::move(aMessages) });
}

void
WriteCorpus(const std::filesystem::path& aFolder)
{
  const std::vector<gpMessage> all = gpSampleMessages();
  // The gpMessage variant lists nine claim messages, then seven start messages,
  // then all others.
  const auto firstStart = all.begin() + 9;
  const auto firstUpdate = firstStart + 7;
  WriteFile(aFolder / "good-claims", FrameOf({ all.begin(), firstStart }));
  WriteFile(aFolder / "good-starts", FrameOf({ firstStart, firstUpdate }));
  WriteFile(aFolder / "good-news", FrameOf({ firstUpdate, all.end() }));
  WriteFile(aFolder / "good-sparse", FrameOf(gpSparseMessages()));
  WriteFile(aFolder / "good-heartbeat", FrameOf({}));

  const std::string start = FrameOf({ *firstStart });
  std::string flipped = start;
  flipped[0] = static_cast<char>(0xFF); // the offset of the root table
  WriteFile(aFolder / "bad-truncated", start.substr(0, start.size() / 2));
  WriteFile(aFolder / "bad-root-offset", flipped);
  WriteFile(aFolder / "bad-hello", gpFrameCodec::EncodeHello({}));
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: gpWriteFrameCorpus FOLDER\n";
    return EXIT_FAILURE;
  }
  WriteCorpus(aArguments[1]);
  return EXIT_SUCCESS;
}
