#pragma once

#include <functional>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "gpEventLoop.h"

/** \class gpEventLoop::Context
 * \brief The Asio state of a loop. Internal: in Source, only the .cxx files of
 * this folder include this header.
 */
struct gpEventLoop::Context
{
  /// The concurrency hint 1 states that one thread runs the context; other
  /// threads may post to it.
  boost::asio::io_context io_{ 1 };
  /// Prevents Run from returning while no event is pending.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_{ io_.get_executor() };
  boost::asio::signal_set signals_{ io_ };
  boost::asio::signal_set reloadSignals_{ io_ };

  /// Calls the handler on each reload signal from now on, by rearming the wait
  /// after each one.
  void AwaitReload(std::function<void()> aHandler)
  {
    reloadSignals_.async_wait(
      [this, handler = std::move(aHandler)](
        const boost::system::error_code& aError, int /*aSignal*/) {
        if (!aError) {
          handler();
          AwaitReload(handler);
        }
      });
  }
};
