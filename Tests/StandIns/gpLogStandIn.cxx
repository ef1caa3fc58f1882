#include "gpLogStandIn.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "gpEventLoop.h"

namespace {

/// The parameters in the target of a request to the log service.
struct LogRequest
{
  std::string stream_;
  std::uint64_t from_ = 0;
  gpMillis wait_{ 0 };
  std::size_t max_ = 1000;
};

std::uint64_t
QueryNumber(const std::string& aQuery,
            const std::string& aName,
            std::uint64_t aDefault)
{
  const std::string text = "&" + aQuery;
  const std::size_t at = text.find("&" + aName + "=");
  if (at == std::string::npos) {
    return aDefault;
  }
  return std::strtoull(text.c_str() + at + aName.size() + 2, nullptr, 10);
}

/// Reads "/v1/streams/{stream}/records?from=12&wait_ms=5000&max=1000".
std::optional<LogRequest>
ParseRequestTarget(const std::string& aTarget)
{
  const std::string prefix = "/v1/streams/";
  const std::string suffix = "/records";
  const std::size_t end = std::min(aTarget.find('?'), aTarget.size());
  const std::string path = aTarget.substr(0, end);
  if (path.rfind(prefix, 0) != 0 ||
      path.size() <= prefix.size() + suffix.size() ||
      path.substr(path.size() - suffix.size()) != suffix) {
    return std::nullopt;
  }
  const std::string query = aTarget.substr(std::min(end + 1, aTarget.size()));
  LogRequest request;
  request.stream_ =
    path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  request.from_ = QueryNumber(query, "from", 0);
  request.wait_ = gpMillis(QueryNumber(query, "wait_ms", 0));
  request.max_ = QueryNumber(query, "max", request.max_);
  return request;
}

gpHttpResponse
MakeResponse(int aStatus, std::string aBody = "")
{
  gpHttpResponse response;
  response.status_ = aStatus;
  response.body_ = std::move(aBody);
  return response;
}

std::string
ReadResponseBody(const gpLogStream& aStream,
                 std::uint64_t aFrom,
                 std::size_t aMax)
{
  boost::json::array records;
  const std::uint64_t first = std::max(aFrom, aStream.earliest_);
  for (std::uint64_t at = first; at < aStream.Next() && records.size() < aMax;
       ++at) {
    const std::string& data = aStream.records_[at - aStream.earliest_];
    records.push_back(
      boost::json::object{ { "offset", at }, { "data", data } });
  }
  return boost::json::serialize(
    boost::json::object{ { "earliest", aStream.earliest_ },
                         { "next", aStream.Next() },
                         { "records", std::move(records) } });
}

} // namespace

gpLogStandIn::gpLogStandIn(gpEventLoop& aLoop, gpTimerService& aTimers)
  : timers_(aTimers)
  , server_(aLoop,
            gpHttpLimits(),
            { .request_ =
                [this](gpRequestId aId, const gpHttpRequest& aRequest) {
                  OnRequest(aId, aRequest);
                },
              .callerDisconnected_ =
                [this](gpRequestId aId) { OnCallerDisconnected(aId); } })
{
}

absl::StatusOr<gpAddress>
gpLogStandIn::Listen(const gpAddress& aAddress)
{
  return server_.Listen(aAddress);
}

void
gpLogStandIn::SetFaults(const gpLogFaults& aFaults)
{
  const bool changed = faults_.mode_ != aFaults.mode_;
  faults_ = aFaults;
  if (!changed) {
    return;
  }
  for (const Reader& reader : std::exchange(readers_, {})) {
    timers_.Cancel(reader.timeout_);
    if (faults_.mode_ == gpLogMode::Hang) {
      ++counts_.hung_;
    } else if (faults_.mode_ == gpLogMode::Refuse) {
      Refuse(reader.request_);
    } else {
      AnswerRead(reader);
    }
  }
}

void
gpLogStandIn::OnRequest(gpRequestId aId, const gpHttpRequest& aRequest)
{
  if (faults_.delay_ == gpMillis(0)) {
    CarryOut(aId, aRequest);
    return;
  }
  timers_.Subscribe(gpEventLoop::Now() + faults_.delay_,
                    [this, aId, aRequest] { CarryOut(aId, aRequest); });
}

void
gpLogStandIn::OnCallerDisconnected(gpRequestId aId)
{
  const auto reader = std::find_if(
    readers_.begin(), readers_.end(), [aId](const Reader& aReader) {
      return aReader.request_ == aId;
    });
  if (reader != readers_.end()) {
    timers_.Cancel(reader->timeout_);
    readers_.erase(reader);
  }
}

void
gpLogStandIn::CarryOut(gpRequestId aId, const gpHttpRequest& aRequest)
{
  const std::optional<LogRequest> request =
    ParseRequestTarget(aRequest.target_);
  if (!request) {
    server_.Respond(aId, MakeResponse(404));
  } else if (faults_.mode_ == gpLogMode::Refuse) {
    Refuse(aId);
  } else if (faults_.mode_ == gpLogMode::Hang) {
    ++counts_.hung_;
  } else if (aRequest.method_ == "POST") {
    QueueAppend(aId, request->stream_, aRequest.body_);
  } else {
    Read({ .request_ = aId,
           .stream_ = request->stream_,
           .from_ = request->from_,
           .max_ = request->max_ },
         request->wait_);
  }
}

void
gpLogStandIn::QueueAppend(gpRequestId aId,
                          std::string aStream,
                          std::string aRecord)
{
  const gpTime now = gpEventLoop::Now();
  const gpTime when = std::max(nextAppend_, now);
  const double period = 1e6 / faults_.appendsPerSecond_;
  nextAppend_ = when + gpMicros(static_cast<std::int64_t>(period));
  if (when == now) {
    Append(aId, aStream, std::move(aRecord));
    return;
  }
  timers_.Subscribe(
    when,
    [this, aId, stream = std::move(aStream), record = std::move(aRecord)] {
      Append(aId, stream, record);
    });
}

void
gpLogStandIn::Append(gpRequestId aId,
                     const std::string& aStream,
                     std::string aRecord)
{
  const std::uint64_t offset = streams_.Append(aStream, std::move(aRecord));
  ++counts_.appends_;
  if (faults_.mode_ == gpLogMode::LoseAnswers) {
    ++counts_.lostAnswers_;
    server_.Abort(aId);
  } else {
    server_.Respond(aId,
                    MakeResponse(201,
                                 boost::json::serialize(boost::json::object{
                                   { "offset", offset } })));
  }
  AnswerWaitingReaders(aStream);
}

void
gpLogStandIn::Read(Reader aReader, gpMillis aWait)
{
  ++counts_.reads_;
  const gpLogStream& stream = streams_.Get(aReader.stream_);
  if (aReader.from_ < stream.Next() || aWait == gpMillis(0)) {
    AnswerRead(aReader);
    return;
  }
  const auto reader = readers_.insert(readers_.end(), std::move(aReader));
  reader->timeout_ =
    timers_.Subscribe(gpEventLoop::Now() + aWait,
                      [this, reader] { AnswerAndRemoveReader(reader); });
}

void
gpLogStandIn::AnswerRead(const Reader& aReader)
{
  const gpLogStream& stream = streams_.Get(aReader.stream_);
  server_.Respond(
    aReader.request_,
    MakeResponse(200, ReadResponseBody(stream, aReader.from_, aReader.max_)));
}

void
gpLogStandIn::AnswerAndRemoveReader(Readers::iterator aReader)
{
  timers_.Cancel(aReader->timeout_);
  AnswerRead(*aReader);
  readers_.erase(aReader);
}

void
gpLogStandIn::AnswerWaitingReaders(const std::string& aStream)
{
  const std::uint64_t next = streams_.Get(aStream).Next();
  for (auto reader = readers_.begin(); reader != readers_.end();) {
    const auto current = reader++;
    if (current->stream_ == aStream && current->from_ < next) {
      AnswerAndRemoveReader(current);
    }
  }
}

void
gpLogStandIn::Refuse(gpRequestId aId)
{
  ++counts_.refused_;
  server_.Respond(aId, MakeResponse(503));
}
