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
/// Lines that wait for a slow reader; more are dropped.
constexpr std::size_t kMostWaiting = 64U << 10U;
/// A pipe that is writable takes so much without waiting.
constexpr std::size_t kPartBytes = PIPE_BUF;
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

/** \class TimeText
 * \brief The present time in UTC, as RFC 3339 has it, with microseconds.
 */
class TimeText
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

  /// The second that the text is of; lines come many a second.
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

bool
IsAscii(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return aChar < kAsciiEnd;
  });
}

/// Escapes all but ASCII, so that a line reads alike in each locale. Bytes that
/// are no UTF-8, which a peer may have sent, are replaced, so that the line
/// stays valid JSON.
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

/** \class LineAppender
 * \brief Writes the messages of log4cxx to a descriptor as they are.
 *
 * The appenders of log4cxx convert each character to the encoding of the locale
 * and write each message by itself; a message here is many lines of ASCII.
 */
class LineAppender : public log4cxx::AppenderSkeleton
{
public:
  LineAppender() = default;
  LineAppender(const LineAppender&) = delete;
  LineAppender& operator=(const LineAppender&) = delete;
  ~LineAppender() override { CloseFile(); }

  /// False if the file can't be opened for appending.
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
        return; // the reader has gone, and there's no other place to say so
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

/** \class Line
 * \brief One line of JSON in the making.
 */
class Line
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
  /// Fields that are JSON already, with commas between them.
  void AddFields(const std::string& aFields) { text_ += ',' + aFields; }
  /// The fields so far.
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
AddEventFields(Line& aLine, const gpTimelineEvent& aEvent)
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

  /// Writes whole lines of what waits, as far as that doesn't wait for the
  /// reader.
  void Flush()
  {
    while (!waiting_.empty() && (!isStandardOutput_ || IsOutputWritable())) {
      const std::size_t part = PartLength();
      if (logger_) {
        logger_->forcedLogLS(
          log4cxx::Level::getInfo(),
          waiting_.substr(0, part),
          log4cxx::spi::LocationInfo::getLocationUnavailable());
      }
      waiting_.erase(0, part);
    }
  }

  /// As many lines as a pipe takes at once, and at least one.
  std::size_t PartLength() const
  {
    if (!isStandardOutput_ || waiting_.size() <= kPartBytes) {
      return waiting_.size();
    }
    const std::size_t last = waiting_.rfind('\n', kPartBytes - 1);
    const std::size_t end =
      last == std::string::npos ? waiting_.find('\n') : last;
    return end + 1;
  }

  gpLamportClock& clock_;
  TimeText time_;
  /// The fields that are the same on each line.
  std::string ownFields_;
  /// A hierarchy of its own, so that no configuration file or environment
  /// variable of log4cxx has an influence.
  log4cxx::HierarchyPtr hierarchy_ = log4cxx::Hierarchy::create();
  /// Null until Open has succeeded.
  log4cxx::LoggerPtr logger_;
  bool isStandardOutput_ = false;
  std::string waiting_;
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
  Line own;
  own.Add(Fields::kProcess, aProcess);
  own.Add(Fields::kRole, gpRoleName(aRole));
  own.Add(Fields::kIncarnation, gpIncarnationText(aIncarnation));
  impl_->ownFields_ = own.GetFields();
  impl_->isStandardOutput_ = aFile == kStandardOutput;
  const auto appender = std::make_shared<LineAppender>();
  if (!appender->Open(aFile)) {
    return gpMakeError(gpErrorCode::Io, "can't write the event log " + aFile);
  }
  impl_->hierarchy_->setConfigured(true);
  impl_->logger_ = impl_->hierarchy_->getLogger(kLoggerName);
  impl_->logger_->addAppender(appender);
  return absl::OkStatus();
}

bool
gpEventLog::Write(const gpTimelineEvent& aEvent)
{
  Line line;
  line.Add(Fields::kEvent, gpEventKindName(aEvent.kind_));
  line.Add(Fields::kTime, impl_->time_.Get());
  line.Add(Fields::kClock, impl_->clock_.Tick());
  line.AddFields(impl_->ownFields_);
  AddEventFields(line, aEvent);
  const std::string text = ToAscii('{' + line.GetFields() + "}\n");
  if (impl_->waiting_.size() + text.size() > kPartBytes) {
    impl_->Flush();
  }
  if (impl_->waiting_.size() + text.size() > kMostWaiting) {
    return false;
  }
  impl_->waiting_ += text;
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
  return impl_->waiting_.empty();
}
