#pragma once

// The socket and timer types of the one event loop that all parts of a process share. Holds no state.

#include <asio/basic_socket_acceptor.hpp>
#include <asio/basic_stream_socket.hpp>
#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "base/clock.h"

namespace burlpoint::transport {

// The types name the event loop's own executor. Asio's default executor is type-erased, which costs several
// indirect calls and copies for each operation.
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;
using Timer = asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Executor>;

/// Concurrency hint for the `asio::io_context` of a process with a single thread: disables Asio's locks.
inline constexpr int kSingleThread = ASIO_CONCURRENCY_HINT_UNSAFE;

}  // namespace burlpoint::transport
