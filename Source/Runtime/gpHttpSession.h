#pragma once

#include <cstddef>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "gpHttpMessage.h"
#include "gpHttpRefusal.h"
#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpTime.h"

class gpHttpSession;

/** \class gpHttpSessionOwner
 * \brief Receives the events of a gpHttpSession; implemented by the server.
 */
class gpHttpSessionOwner
{
public:
  virtual ~gpHttpSessionOwner() = default;

  /// A complete request has arrived. The owner calls SetRequest to number it.
  virtual void OnRequest(gpHttpSession& aSession, gpHttpRequest aRequest) = 0;
  /// The session waits for its caller from now on, or no longer does: for a
  /// request, for the rest of one, or until the caller has read a response.
  virtual void OnWaiting(gpHttpSession& aSession, bool aIsWaiting) = 0;
  /// The session keeps this many bytes for its caller from now on. Returns
  /// false if all sessions together keep too many.
  virtual bool OnKept(gpHttpSession& aSession, std::size_t aBytes) = 0;
  /// The caller has closed its connection before its request was answered.
  virtual void OnCallerDisconnected(gpHttpSession& aSession) = 0;
  /// The session will neither receive nor answer further requests. Called once.
  virtual void OnFinished(gpHttpSession& aSession) = 0;
  /// The connection is closed. Called once, after OnFinished.
  virtual void OnClosed(gpHttpSession& aSession) = 0;
};

/** \class gpHttpSession
 * \brief An accepted connection: reads requests and writes their responses.
 *
 * Handles one request at a time. A read is pending also while a request is
 * being handled, so that the session notices when the caller disconnects; it
 * pauses only if the caller has pipelined too many bytes.
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

  /// Begins to read requests.
  void Start();
  /// Instead of Start: sends the response of the refusal without having read a
  /// request, then closes.
  void Refuse(gpHttpRefusal aRefusal);
  /// Sends the response to the current request; ignored if there is none. Then
  /// closes the connection if aMayKeep is false, if the caller asked for it or
  /// if the session is draining.
  void Respond(gpHttpResponse aResponse, bool aMayKeep);
  /// Whether the caller has closed or reset the connection, as known to the
  /// operating system now. False while bytes that it sent before are unread.
  bool IsCallerDisconnected();
  /// Closes the connection after the response to the current request, or if no
  /// request arrives within a short grace period.
  void Drain();
  /// Closes the connection immediately.
  void Close();
  /// Enforces the time limit of the current state: closes the connection, or
  /// answers 408 if a request is incomplete.
  void CheckDeadline(gpTime aNow);

  /// The id that the owner gave the current request.
  void SetRequest(gpRequestId aRequest) { request_ = aRequest; }
  gpRequestId GetRequest() const { return request_; }

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  gpRequestId request_;
};
