// A libFuzzer target for all parsers of JSON texts. It checks two properties of
// every input: a rejected text has at least one error, and a value that a
// parser accepts is rendered as a text that the parser accepts and that renders
// to the same text again.

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
Require(bool aCondition, const char* aViolation)
{
  if (!aCondition) {
    std::fprintf(stderr, "fuzzConfiguration: %s\n", aViolation);
    std::abort();
  }
}

void
CheckConfiguration(const std::string& aText)
{
  const auto parsed = gpParseConfiguration(aText);
  if (!parsed.ok()) {
    Require(!gpErrorsOf(parsed.status()).empty(),
            "a text was rejected without an error");
    return;
  }
  const std::string text = gpRenderConfiguration(*parsed);
  const auto again = gpParseConfiguration(text);
  Require(again.ok(), "the canonical text of a configuration was rejected");
  Require(gpRenderConfiguration(*again) == text,
          "parsing and rendering changed a canonical text");
}

void
CheckStreams(const std::string& aText)
{
  gpConfigurationStream configuration([](const gpConfigurationEvent&) {});
  configuration.Fold(gpLogOffset(1), aText);
  configuration.Fold(gpLogOffset(2), aText);
  Require(configuration.IsCurrent() == configuration.MakeUpdate().has_value() ||
            configuration.GetState().version_ == gpConfigVersion(),
          "a reader without state accepted or rejected an apply");
  gpRosterStream roster([](const gpRosterEvent&) {});
  roster.Fold(gpLogOffset(0), aText);
  const gpRoster& state = roster.GetState();
  const auto again =
    gpParseRosterRecord(gpRenderCheckpoint(state, gpLogOffset(0)));
  Require(again.ok(), "the checkpoint of a roster was rejected");
  Require(std::get<gpRosterCheckpoint>(*again).state_ == state,
          "rendering and parsing a checkpoint changed the roster");
}

void
CheckAnswer(const std::string& aText)
{
  const auto parsed = gpParseAnswer(aText);
  if (!parsed.ok()) {
    return;
  }
  const auto again = gpParseAnswer(gpRenderAnswer(*parsed).body_);
  Require(again.ok() && *again == *parsed,
          "rendering and parsing changed an answer");
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
