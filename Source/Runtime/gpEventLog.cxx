#include "gpEventLog.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdio>
#include <ctime>
#include <string_view>
#include <utility>

#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include "gpError.h"
#include "gpLamportClock.h"
#include "gpTime.h"
#include "gpTimelineFields.h"

namespace {

using Fields = gpTimelineFields;

constexpr const char* kStandardOutput = "-";
constexpr const char* kLoggerName = "timeline";
constexpr mode_t kFileMode = 0644;
/// Bytes that are buffered while the reader of the standard output is slow; a
/// line that would exceed this is dropped.
constexpr std::size_t kMaxBufferedBytes = 64U << 10U;
/// A pipe that poll reports as writable accepts this many bytes without
/// blocking.
constexpr std::size_t kPipeWriteBytes = PIPE_BUF;
constexpr char kReplacement = '?';
constexpr unsigned int kAsciiEnd = 0x80;
constexpr unsigned int kHighSurrogate = 0xd800;
constexpr unsigned int kLowSurrogate = 0xdc00;
constexpr unsigned int kSurrogatesEnd = 0xe000;
/// The code that log4cxx's decoder returns for bytes that are not valid UTF-8.
constexpr unsigned int kInvalidCharacter = 0xffff;
constexpr unsigned int kSupplementary = 0x10000;
constexpr unsigned int kSurrogateBits = 10;
constexpr unsigned int kSurrogateMask = 0x3ff;
constexpr unsigned int kCodesEnd = 0x110000;

/** \class TimestampFormatter
 * \brief Formats the current time in UTC as RFC 3339 with microseconds.
 */
class TimestampFormatter
{
public:
  std::string Get()
  {
    const auto now = std::chrono::duration_cast<gpMicros>(
      std::chrono::system_clock::now().time_since_epoch());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    if (seconds != seconds_) {
      seconds_ = seconds;
      secondsText_ = Format(seconds.count());
    }
    std::array<char, 16> rest{};
    std::snprintf(rest.data(),
                  rest.size(),
                  ".%06dZ",
                  static_cast<int>((now - seconds).count()));
    return secondsText_ + rest.data();
  }

private:
  static std::string Format(std::time_t aTime)
  {
    std::tm parts{};
    gmtime_r(&aTime, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    return text.data();
  }

  /// The second that secondsText_ represents. It is cached, as many lines are
  /// written within one second.
  std::chrono::seconds seconds_{ -1 };
  std::string secondsText_;
};

void
AppendEscaped(std::string& aText, unsigned int aUnit)
{
  std::array<char, 8> escape{};
  std::snprintf(escape.data(), escape.size(), "\\u%04x", aUnit);
  aText += escape.data();
}

/// Whether the code is a character that log4cxx could decode and that UTF-16
/// can represent.
bool
IsCharacter(unsigned int aCode)
{
  const bool isSurrogate = aCode >= kHighSurrogate && aCode < kSurrogatesEnd;
  return !isSurrogate && aCode != kInvalidCharacter && aCode < kCodesEnd;
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

bool
IsAscii(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return aChar < kAsciiEnd;
  });
}

/// Escapes all characters but ASCII, so that the encoding of a line does not
/// depend on the locale. Bytes that are not valid UTF-8, which a peer may have
/// sent, are replaced, so that the line stays valid JSON.
std::string
ToAscii(const std::string& aLine)
{
  if (IsAscii(aLine)) {
    return aLine;
  }
  std::string ascii;
  ascii.reserve(aLine.size());
  for (auto next = aLine.begin(); next != aLine.end();) {
    const auto begin = next;
    const unsigned int code = log4cxx::helpers::Transcoder::decode(aLine, next);
    AppendCharacter(ascii, code);
    if (code == kInvalidCharacter) {
      next = begin + 1;
    }
  }
  return ascii;
}

/// Whether a line can be written to the standard output without blocking: a
/// pipe that is writable accepts at least PIPE_BUF bytes, more than a line has.
bool
IsOutputWritable()
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/** \class LineAppender
 * \brief Writes the messages of log4cxx to a file descriptor unchanged.
 *
 * The appenders of log4cxx convert each character to the encoding of the locale
 * and write one event at a time; here a message is a batch of ASCII lines,
 * which is written at once.
 */
class LineAppender : public log4cxx::AppenderSkeleton
{
public:
  LineAppender() = default;
  LineAppender(const LineAppender&) = delete;
  LineAppender& operator=(const LineAppender&) = delete;
  ~LineAppender() override { CloseFile(); }

  /// Returns false if the file can't be opened for appending.
  bool Open(const std::string& aFile)
  {
    isFile_ = aFile != kStandardOutput;
    descriptor_ = isFile_ ? ::open(aFile.c_str(),
                                   O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                                   kFileMode)
                          : STDOUT_FILENO;
    return descriptor_ >= 0;
  }
  void close() override { CloseFile(); }
  bool requiresLayout() const override { return false; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& /*aPool*/) override
  {
    std::string_view rest = aEvent->getMessage();
    while (!rest.empty()) {
      const ssize_t written = ::write(descriptor_, rest.data(), rest.size());
      if (written < 0 && errno != EINTR) {
        return; // the reader has closed the pipe; nowhere else to report it
      }
      rest.remove_prefix(
        static_cast<std::size_t>(std::max<ssize_t>(written, 0)));
    }
  }

private:
  void CloseFile()
  {
    if (isFile_ && descriptor_ >= 0) {
      ::close(std::exchange(descriptor_, -1));
    }
  }

  int descriptor_ = -1;
  bool isFile_ = false;
};

/** \class JsonLine
 * \brief Builds the fields of one JSON object.
 */
class JsonLine
{
public:
  void Add(const char* aField, std::string_view aText)
  {
    AddRaw(aField, boost::json::serialize(boost::json::string_view(aText)));
  }
  void Add(const char* aField, std::uint64_t aNumber)
  {
    AddRaw(aField, std::to_string(aNumber));
  }
  /// Appends fields that are already serialized and separated by commas.
  void AddFields(const std::string& aFields) { text_ += ',' + aFields; }
  /// The serialized fields so far, without the surrounding braces.
  const std::string& GetFields() const { return text_; }

private:
  void AddRaw(const char* aField, const std::string& aValue)
  {
    if (!text_.empty()) {
      text_ += ',';
    }
    text_ += '"';
    text_ += aField;
    text_ += "\":";
    text_ += aValue;
  }

  std::string text_;
};

void
AddEventFields(JsonLine& aLine, const gpTimelineEvent& aEvent)
{
  if (aEvent.job_) {
    aLine.Add(Fields::kJob, gpJobIdText(*aEvent.job_));
  }
  if (aEvent.task_) {
    aLine.Add(Fields::kTask, aEvent.task_->value_);
  }
  if (aEvent.attempt_) {
    aLine.Add(Fields::kAttempt, aEvent.attempt_->value_);
  }
  if (aEvent.key_) {
    aLine.Add(Fields::kService, aEvent.key_->service_.value_);
    aLine.Add(Fields::kKey, aEvent.key_->key_.value_);
  }
  if (aEvent.peer_) {
    aLine.Add(Fields::kPeer, gpIncarnationText(*aEvent.peer_));
  }
  if (aEvent.number_) {
    aLine.Add(Fields::kNumber, *aEvent.number_);
  }
  if (!aEvent.detail_.empty()) {
    aLine.Add(Fields::kDetail, aEvent.detail_);
  }
}

} // namespace

struct gpEventLog::Impl
{
  explicit Impl(gpLamportClock& aClock)
    : clock_(aClock)
  {
  }

  /// Writes buffered lines, as many as is possible without blocking on the
  /// reader of the standard output.
  void Flush()
  {
    while (!buffer_.empty() && (!isStandardOutput_ || IsOutputWritable())) {
      const std::size_t length = NextWriteLength();
      if (logger_) {
        logger_->forcedLogLS(
          log4cxx::Level::getInfo(),
          buffer_.substr(0, length),
          log4cxx::spi::LocationInfo::getLocationUnavailable());
      }
      buffer_.erase(0, length);
    }
  }

  /// Bytes to write next: whole lines, as many as a pipe accepts without
  /// blocking, but at least one. A file gets everything at once.
  std::size_t NextWriteLength() const
  {
    if (!isStandardOutput_ || buffer_.size() <= kPipeWriteBytes) {
      return buffer_.size();
    }
    const std::size_t last = buffer_.rfind('\n', kPipeWriteBytes - 1);
    const std::size_t end =
      last == std::string::npos ? buffer_.find('\n') : last;
    return end + 1;
  }

  gpLamportClock& clock_;
  TimestampFormatter time_;
  /// The serialized fields that are the same on each line.
  std::string processFields_;
  /// A private logger hierarchy, so that configuration files and environment
  /// variables of log4cxx have no effect on the event log.
  log4cxx::HierarchyPtr hierarchy_ = log4cxx::Hierarchy::create();
  /// Null until Open has succeeded.
  log4cxx::LoggerPtr logger_;
  bool isStandardOutput_ = false;
  /// Whole lines that have not been written yet.
  std::string buffer_;
};

gpEventLog::gpEventLog(gpLamportClock& aClock)
  : impl_(std::make_unique<Impl>(aClock))
{
}

gpEventLog::~gpEventLog()
{
  impl_->Flush();
  impl_->hierarchy_->shutdown();
}

absl::Status
gpEventLog::Open(const std::string& aFile,
                 gpRole aRole,
                 const std::string& aProcess,
                 gpIncarnation aIncarnation)
{
  JsonLine own;
  own.Add(Fields::kProcess, aProcess);
  own.Add(Fields::kRole, gpRoleName(aRole));
  own.Add(Fields::kIncarnation, gpIncarnationText(aIncarnation));
  impl_->processFields_ = own.GetFields();
  impl_->isStandardOutput_ = aFile == kStandardOutput;
  const auto appender = std::make_shared<LineAppender>();
  if (!appender->Open(aFile)) {
    return gpMakeError(gpErrorCode::Io,
                       "can't open the event log for appending: " + aFile);
  }
  impl_->hierarchy_->setConfigured(true);
  impl_->logger_ = impl_->hierarchy_->getLogger(kLoggerName);
  impl_->logger_->addAppender(appender);
  return absl::OkStatus();
}

bool
gpEventLog::Write(const gpTimelineEvent& aEvent)
{
  JsonLine line;
  line.Add(Fields::kEvent, gpEventKindName(aEvent.kind_));
  line.Add(Fields::kTime, impl_->time_.Get());
  line.Add(Fields::kClock, impl_->clock_.Tick());
  line.AddFields(impl_->processFields_);
  AddEventFields(line, aEvent);
  const std::string text = ToAscii('{' + line.GetFields() + "}\n");
  if (impl_->buffer_.size() + text.size() > kPipeWriteBytes) {
    impl_->Flush();
  }
  if (impl_->buffer_.size() + text.size() > kMaxBufferedBytes) {
    return false;
  }
  impl_->buffer_ += text;
  return true;
}

void
gpEventLog::Flush()
{
  impl_->Flush();
}

bool
gpEventLog::IsFlushed() const
{
  return impl_->buffer_.empty();
}
