#include "gpStoreStandIn.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <absl/strings/escaping.h>
#include <boost/json.hpp>

#include "gpEventLoop.h"

namespace {

constexpr int kBadRequest = 400;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr unsigned kBitsOfByte = 8;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;

std::string
QueryParameter(const std::string& aTarget, const std::string& aName)
{
  const std::size_t at = aTarget.find(aName + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + aName.size() + 1;
  return aTarget.substr(begin, aTarget.find('&', begin) - begin);
}

std::uint64_t
ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::string
BigEndian(std::uint64_t aValue, std::size_t aBytes)
{
  std::string text;
  for (std::size_t byte = aBytes; byte-- > 0;) {
    text += static_cast<char>(aValue >> (byte * kBitsOfByte));
  }
  return text;
}

gpHttpResponse
MakeStatusResponse(int aStatus)
{
  gpHttpResponse response;
  response.status_ = aStatus;
  response.body_ = "{}";
  return response;
}

} // namespace

gpStoreStandIn::gpStoreStandIn(gpEventLoop& aLoop, gpTimerService& aTimers)
  : timers_(aTimers)
  , server_(aLoop,
            {},
            { [this](gpRequestId aRequest, const gpHttpRequest& aHttp) {
               OnRequest(aRequest, aHttp);
             },
              [this](gpRequestId aRequest) {
                std::erase_if(readers_, [&](const Reader& aReader) {
                  return aReader.request_ == aRequest;
                });
              } })
{
}

absl::StatusOr<gpAddress>
gpStoreStandIn::Listen(const gpAddress& aAddress)
{
  return server_.Listen(aAddress);
}

void
gpStoreStandIn::Put(const std::string& aTopic,
                    const std::string& aKey,
                    const std::string& aValue)
{
  Topic& topic = topics_[aTopic];
  std::string record(1, static_cast<char>(aKey.size()));
  record += aKey + aValue;
  topic.records_.push_back(std::move(record));
  topic.newest_[aKey] = aValue;
  AnswerWaitingReaders(aTopic);
}

void
gpStoreStandIn::Trim(const std::string& aTopic)
{
  Topic& topic = topics_[aTopic];
  topic.first_ = topic.End();
  topic.records_.clear();
}

void
gpStoreStandIn::OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp)
{
  ++calls_;
  if (mode_ == gpStoreMode::Hang) {
    return;
  }
  if (mode_ == gpStoreMode::Refuse) {
    server_.Respond(aRequest, MakeStatusResponse(kUnavailable));
    return;
  }
  const std::string topic = QueryParameter(aHttp.target_, "topic");
  if (aHttp.target_.starts_with("/v1/log-newest?")) {
    OnNewest(aRequest, topic);
  } else if (aHttp.target_.starts_with("/v1/log-read?")) {
    OnRead(aRequest, aHttp.target_);
  } else if (aHttp.target_.starts_with("/v1/log-append?")) {
    OnAppend(aRequest, topic, aHttp.body_);
  } else {
    server_.Respond(aRequest, MakeStatusResponse(kBadRequest));
  }
}

void
gpStoreStandIn::OnNewest(gpRequestId aRequest, const std::string& aTopic)
{
  const Topic& topic = topics_[aTopic];
  boost::json::array items;
  for (const auto& [key, value] : topic.newest_) {
    items.push_back({ { "key", key },
                      { "value", absl::Base64Escape(value) },
                      { "offset", 0 } });
  }
  gpHttpResponse response;
  response.body_ = boost::json::serialize(boost::json::object{
    { "items", items }, { "hasMore", false }, { "end", topic.End() } });
  server_.Respond(aRequest, std::move(response));
}

void
gpStoreStandIn::OnRead(gpRequestId aRequest, const std::string& aTarget)
{
  Reader reader{ aRequest,
                 QueryParameter(aTarget, "topic"),
                 ParseNumber(QueryParameter(aTarget, "from")) };
  const Topic& topic = topics_[reader.topic_];
  const gpMillis wait(
    static_cast<std::int64_t>(ParseNumber(QueryParameter(aTarget, "waitMs"))));
  if (reader.from_ != topic.End() || wait == gpMillis(0)) {
    AnswerRead(reader);
    return;
  }
  readers_.push_back(reader);
  timers_.Subscribe(gpEventLoop::Now() + wait, [this, reader] {
    const auto isSame = [&](const Reader& aReader) {
      return aReader.request_ == reader.request_;
    };
    if (std::erase_if(readers_, isSame) > 0) {
      AnswerRead(reader);
    }
  });
}

void
gpStoreStandIn::AnswerRead(const Reader& aReader)
{
  const Topic& topic = topics_[aReader.topic_];
  if (aReader.from_ < topic.first_) {
    server_.Respond(aReader.request_, MakeStatusResponse(kGone));
    return;
  }
  gpHttpResponse response;
  response.contentType_ = "application/octet-stream";
  response.body_ = BigEndian(topic.End(), kOffsetBytes) +
                   BigEndian(topic.first_, kOffsetBytes);
  for (std::uint64_t offset = aReader.from_; offset < topic.End(); ++offset) {
    const std::string& record = topic.records_[offset - topic.first_];
    response.body_ += BigEndian(record.size(), kLengthBytes) + record;
  }
  server_.Respond(aReader.request_, std::move(response));
}

void
gpStoreStandIn::OnAppend(gpRequestId aRequest,
                         const std::string& aTopic,
                         const std::string& aBody)
{
  if (aBody.size() <= kLengthBytes) {
    server_.Respond(aRequest, MakeStatusResponse(kBadRequest));
    return;
  }
  const auto keyLength = static_cast<unsigned char>(aBody[kLengthBytes]);
  const std::string rest = aBody.substr(kLengthBytes + 1);
  Put(aTopic, rest.substr(0, keyLength), rest.substr(keyLength));
  server_.Respond(aRequest, MakeStatusResponse(200));
}

void
gpStoreStandIn::AnswerWaitingReaders(const std::string& aTopic)
{
  for (const Reader& reader : std::exchange(readers_, {})) {
    if (reader.topic_ == aTopic) {
      AnswerRead(reader);
    } else {
      readers_.push_back(reader);
    }
  }
}
