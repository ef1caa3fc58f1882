#include "gpControlServer.h"

#include <iostream>
#include <utility>

#include "gpError.h"

void
gpPrintListening(const std::string& aPurpose, const gpAddress& aAddress)
{
  std::cout << R"({"event":"listening","purpose":")" << aPurpose
            << R"(","detail":")" << aAddress.value_ << "\"}" << std::endl;
}

gpControlServer::gpControlServer(gpEventLoop& aLoop, Handlers aHandlers)
  : handlers_(std::move(aHandlers))
  , server_(aLoop,
            gpHttpLimits(),
            { .request_ =
                [this](gpRequestId aId, const gpHttpRequest& aRequest) {
                  OnRequest(aId, aRequest);
                },
              .callerDisconnected_ = [](gpRequestId) {} })
{
}

absl::Status
gpControlServer::Listen(const gpAddress& aAddress)
{
  const absl::StatusOr<gpAddress> address = server_.Listen(aAddress);
  if (address.ok()) {
    gpPrintListening("control", *address);
  }
  return address.status();
}

void
gpControlServer::OnRequest(gpRequestId aId, const gpHttpRequest& aRequest)
{
  gpHttpResponse response;
  if (aRequest.target_.rfind("/control", 0) != 0) {
    response.status_ = 404;
  } else if (aRequest.method_ == "POST") {
    if (absl::Status status = handlers_.apply_(aRequest.body_); !status.ok()) {
      response.status_ = 400;
      response.contentType_ = "text/plain";
      response.body_ = gpErrorText(status);
    }
  } else {
    response.body_ = handlers_.show_(aRequest.target_);
  }
  server_.Respond(aId, std::move(response));
}
