#pragma once

/// Sockets and timers of the event loop that every part of the process shares.

#include <asio/basic_socket_acceptor.hpp>
#include <asio/basic_stream_socket.hpp>
#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "base/clock.h"

namespace burlpoint::transport {

// Bound to the event loop's own executor type: the default one is type-erased, which costs several indirect
// calls and copies for each operation.
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;
using Timer = asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Executor>;

/// For the constructor of the event loop of a process whose only thread runs it: without locks.
inline constexpr int kSingleThread = ASIO_CONCURRENCY_HINT_UNSAFE;

}  // namespace burlpoint::transport
