#pragma once

#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "gpHttpMessage.h"
#include "gpHttpRefusal.h"
#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpTime.h"

class gpHttpSession;

/** \class gpHttpSessionOwner
 * \brief What a session tells its server.
 */
class gpHttpSessionOwner
{
public:
  virtual ~gpHttpSessionOwner() = default;

  /// A whole request has arrived. The owner calls SetRequest.
  virtual void OnRequest(gpHttpSession& aSession, gpHttpRequest aRequest) = 0;
  /// The caller closed its connection while its request waited.
  virtual void OnCallerGone(gpHttpSession& aSession) = 0;
  /// The session will neither take nor answer any more requests. Called once.
  virtual void OnSettled(gpHttpSession& aSession) = 0;
  /// The connection is closed. Called once, after OnSettled.
  virtual void OnClosed(gpHttpSession& aSession) = 0;
};

/** \class gpHttpSession
 * \brief One accepted connection: reads requests and writes their answers.
 *
 * Handles one request at a time. A read is always pending, so that the end of
 * the connection is noticed while a request waits for its answer.
 */
class gpHttpSession
{
public:
  gpHttpSession(boost::asio::ip::tcp::socket aSocket,
                const gpHttpLimits& aLimits,
                std::weak_ptr<gpHttpSessionOwner> aOwner);
  ~gpHttpSession();
  gpHttpSession(const gpHttpSession&) = delete;
  gpHttpSession& operator=(const gpHttpSession&) = delete;

  void Start();
  /// Answers without having read a request, then closes.
  void Refuse(gpHttpRefusal aRefusal);
  /// Answers the request that waits; ignored if there is none. Closes the
  /// connection then if aMayKeep isn't set, or the caller asked for it.
  void Respond(gpHttpResponse aResponse, bool aMayKeep);
  /// Whether the caller has closed or reset the connection, as the system knows
  /// now; what it sent before may not have been read yet.
  bool HasCallerLeft();
  /// Closes after the answer of the request at hand, or when no request
  /// arrives within a short grace time.
  void Drain();
  /// Closes at once.
  void Close();
  /// Closes, or answers 408, if the time for the present step has run out.
  void CheckDeadline(gpTime aNow);

  /// The request at hand, as its owner numbered it.
  void SetRequest(gpRequestId aRequest) { request_ = aRequest; }
  gpRequestId GetRequest() const { return request_; }

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  gpRequestId request_;
};
