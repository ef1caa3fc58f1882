// A libFuzzer target over all parsers of JSON texts. What it checks holds for
// every input: a refused text has at least one error, and what a parser accepts
// comes out of its renderer as a text that's accepted and renders alike.

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "gpConfigurationFile.h"
#include "gpConfigurationStream.h"
#include "gpJobJson.h"
#include "gpRosterStream.h"
#include "gpSettingsFile.h"

namespace {

void
Require(bool aCondition, const char* aWhat)
{
  if (!aCondition) {
    std::fprintf(stderr, "fuzzConfiguration: %s\n", aWhat);
    std::abort();
  }
}

void
CheckConfiguration(const std::string& aText)
{
  const auto parsed = gpParseConfiguration(aText);
  if (!parsed.ok()) {
    Require(!gpErrorsOf(parsed.status()).empty(), "refused without an error");
    return;
  }
  const std::string text = gpRenderConfiguration(*parsed);
  const auto again = gpParseConfiguration(text);
  Require(again.ok(), "canonical text is refused");
  Require(gpRenderConfiguration(*again) == text, "canonical text changes");
}

void
CheckStreams(const std::string& aText)
{
  gpConfigurationStream configuration([](const gpConfigurationEvent&) {});
  configuration.Fold(gpLogOffset(1), aText);
  configuration.Fold(gpLogOffset(2), aText);
  Require(configuration.IsCurrent() == configuration.MakeNews().has_value() ||
            configuration.GetState().version_ == gpConfigVersion(),
          "a reader without state judged an apply");
  gpRosterStream roster([](const gpRosterEvent&) {});
  roster.Fold(gpLogOffset(0), aText);
  const gpRoster& state = roster.GetState();
  const auto again =
    gpParseRosterRecord(gpRenderCheckpoint(state, gpLogOffset(0)));
  Require(again.ok(), "checkpoint of a roster is refused");
  Require(std::get<gpRosterCheckpoint>(*again).state_ == state,
          "checkpoint of a roster changes it");
}

void
CheckAnswer(const std::string& aText)
{
  const auto parsed = gpParseAnswer(aText);
  if (!parsed.ok()) {
    return;
  }
  const auto again = gpParseAnswer(gpRenderAnswer(*parsed).body_);
  Require(again.ok() && *again == *parsed, "answer changes");
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(aData, aData + aSize);
  CheckConfiguration(text);
  CheckStreams(text);
  CheckAnswer(text);
  static_cast<void>(gpParseEntrySettings("fuzz", text));
  static_cast<void>(gpParseGuardSettings("fuzz", text));
  static_cast<void>(gpParseSubmission(text, "key"));
  static_cast<void>(gpIndentJson(text));
  return 0;
}
