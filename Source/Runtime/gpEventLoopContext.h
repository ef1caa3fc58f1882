#pragma once

#include <functional>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "gpEventLoop.h"

/** \class gpEventLoop::Context
 * \brief The Asio state of a loop. For .cxx files of this folder only.
 */
struct gpEventLoop::Context
{
  /// Runs on one thread only; other threads may post.
  boost::asio::io_context io_{ 1 };
  /// Keeps Run going while nothing is pending.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_{ io_.get_executor() };
  boost::asio::signal_set signals_{ io_ };
};
