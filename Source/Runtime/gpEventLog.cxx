#include "gpEventLog.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <poll.h>
#include <unistd.h>

#include "gpError.h"
#include "gpLamportClock.h"
#include "gpTime.h"
#include "gpTimelineFields.h"

namespace {

using Fields = gpTimelineFields;

constexpr const char* kStandardOutput = "-";
/// The message is the whole line: log4cxx's own JSONLayout would write it as a
/// string inside an object of its own, so that readers had to parse twice.
constexpr const char* kPattern = "%m%n";
constexpr const char* kLoggerName = "timeline";
constexpr char kReplacement = '?';
constexpr unsigned int kAsciiEnd = 0x80;
constexpr unsigned int kHighSurrogate = 0xd800;
constexpr unsigned int kLowSurrogate = 0xdc00;
constexpr unsigned int kSurrogatesEnd = 0xe000;
/// What log4cxx gives for bytes that are no UTF-8.
constexpr unsigned int kUndecoded = 0xffff;
constexpr unsigned int kSupplementary = 0x10000;
constexpr unsigned int kSurrogateBits = 10;
constexpr unsigned int kSurrogateMask = 0x3ff;
constexpr unsigned int kCodesEnd = 0x110000;

/// The present time in UTC, as RFC 3339 has it.
std::string
TimeText()
{
  const auto now = std::chrono::duration_cast<gpMicros>(
    std::chrono::system_clock::now().time_since_epoch());
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  const std::time_t time = seconds.count();
  std::tm parts{};
  gmtime_r(&time, &parts);
  std::array<char, 32> text{};
  const std::size_t length =
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + length,
                text.size() - length,
                ".%06dZ",
                static_cast<int>((now - seconds).count()));
  return text.data();
}

void
AppendEscaped(std::string& aText, unsigned int aUnit)
{
  std::array<char, 8> escape{};
  std::snprintf(escape.data(), escape.size(), "\\u%04x", aUnit);
  aText += escape.data();
}

/// Whether it is a character that UTF-16 can hold and log4cxx could decode.
bool
IsCharacter(unsigned int aCode)
{
  const bool isSurrogate = aCode >= kHighSurrogate && aCode < kSurrogatesEnd;
  return !isSurrogate && aCode != kUndecoded && aCode < kCodesEnd;
}

void
AppendCharacter(std::string& aText, unsigned int aCode)
{
  if (!IsCharacter(aCode)) {
    aText += kReplacement;
  } else if (aCode < kAsciiEnd) {
    aText += static_cast<char>(aCode);
  } else if (aCode < kSupplementary) {
    AppendEscaped(aText, aCode);
  } else {
    const unsigned int rest = aCode - kSupplementary;
    AppendEscaped(aText, kHighSurrogate + (rest >> kSurrogateBits));
    AppendEscaped(aText, kLowSurrogate + (rest & kSurrogateMask));
  }
}

/// Escapes all but ASCII, since the console appender writes the characters of
/// the locale only. Bytes that are no UTF-8, which a peer may have sent, are
/// replaced, so that the line stays valid JSON.
std::string
ToAscii(const std::string& aLine)
{
  std::string ascii;
  ascii.reserve(aLine.size());
  for (auto next = aLine.begin(); next != aLine.end();) {
    const auto begin = next;
    const unsigned int code = log4cxx::helpers::Transcoder::decode(aLine, next);
    AppendCharacter(ascii, code);
    if (code == kUndecoded) {
      next = begin + 1;
    }
  }
  return ascii;
}

/// Whether a line can be written without waiting: a pipe that is writable takes
/// at least PIPE_BUF bytes, more than a line has.
bool
IsOutputWritable()
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

void
AddEventFields(boost::json::object& aLine, const gpTimelineEvent& aEvent)
{
  if (aEvent.job_) {
    aLine[Fields::kJob] = gpJobIdText(*aEvent.job_);
  }
  if (aEvent.task_) {
    aLine[Fields::kTask] = aEvent.task_->value_;
  }
  if (aEvent.attempt_) {
    aLine[Fields::kAttempt] = aEvent.attempt_->value_;
  }
  if (aEvent.key_) {
    aLine[Fields::kService] = aEvent.key_->service_.value_;
    aLine[Fields::kKey] = aEvent.key_->key_.value_;
  }
  if (aEvent.peer_) {
    aLine[Fields::kPeer] = gpIncarnationText(*aEvent.peer_);
  }
  if (aEvent.number_) {
    aLine[Fields::kNumber] = *aEvent.number_;
  }
  if (!aEvent.detail_.empty()) {
    aLine[Fields::kDetail] = aEvent.detail_;
  }
}

/// log4cxx reports a file that can't be opened on the standard error only.
absl::Status
CheckWritable(const std::string& aFile)
{
  const std::ofstream file(aFile, std::ios::app);
  if (file.is_open()) {
    return absl::OkStatus();
  }
  return gpMakeError(gpErrorCode::Io, "can't write the event log " + aFile);
}

log4cxx::WriterAppenderPtr
MakeAppender(const std::string& aFile)
{
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  if (aFile == kStandardOutput) {
    return std::make_shared<log4cxx::ConsoleAppender>(layout);
  }
  const auto appender = std::make_shared<log4cxx::FileAppender>();
  appender->setLayout(layout);
  appender->setFile(aFile);
  return appender;
}

} // namespace

struct gpEventLog::Impl
{
  explicit Impl(gpLamportClock& aClock)
    : clock_(aClock)
  {
  }

  gpLamportClock& clock_;
  std::string process_;
  gpRole role_ = gpRole::Entry;
  gpIncarnation incarnation_;
  /// A hierarchy of its own, so that no configuration file or environment
  /// variable of log4cxx has an influence.
  log4cxx::HierarchyPtr hierarchy_ = log4cxx::Hierarchy::create();
  /// Null until Open has succeeded.
  log4cxx::LoggerPtr logger_;
  bool isStandardOutput_ = false;
};

gpEventLog::gpEventLog(gpLamportClock& aClock)
  : impl_(std::make_unique<Impl>(aClock))
{
}

gpEventLog::~gpEventLog()
{
  impl_->hierarchy_->shutdown();
}

absl::Status
gpEventLog::Open(const std::string& aFile,
                 gpRole aRole,
                 const std::string& aProcess,
                 gpIncarnation aIncarnation)
{
  impl_->role_ = aRole;
  impl_->process_ = aProcess;
  impl_->incarnation_ = aIncarnation;
  impl_->isStandardOutput_ = aFile == kStandardOutput;
  if (aFile != kStandardOutput) {
    absl::Status status = CheckWritable(aFile);
    if (!status.ok()) {
      return status;
    }
  }
  const auto appender = MakeAppender(aFile);
  appender->setImmediateFlush(true);
  log4cxx::helpers::Pool pool;
  appender->activateOptions(pool);
  impl_->hierarchy_->setConfigured(true);
  impl_->logger_ = impl_->hierarchy_->getLogger(kLoggerName);
  impl_->logger_->addAppender(appender);
  return absl::OkStatus();
}

bool
gpEventLog::Write(const gpTimelineEvent& aEvent)
{
  if (impl_->isStandardOutput_ && !IsOutputWritable()) {
    return false;
  }
  boost::json::object line = {
    { Fields::kEvent, gpEventKindName(aEvent.kind_) },
    { Fields::kTime, TimeText() },
    { Fields::kClock, impl_->clock_.Tick() },
    { Fields::kProcess, impl_->process_ },
    { Fields::kRole, gpRoleName(impl_->role_) },
    { Fields::kIncarnation, gpIncarnationText(impl_->incarnation_) },
  };
  AddEventFields(line, aEvent);
  if (impl_->logger_) {
    impl_->logger_->forcedLog(log4cxx::Level::getInfo(),
                              ToAscii(boost::json::serialize(line)));
  }
  return true;
}
