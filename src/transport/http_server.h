#pragma once

// An HTTP/1.1 server that is bounded in connections, memory and time. Owns the listening socket and the
// connections. Used on the event loop's thread only; the handler runs there.

#include <cstddef>
#include <memory>
#include <unordered_set>

#include "base/clock.h"
#include "transport/executor.h"
#include "transport/http_message.h"

namespace burlpoint::transport {

/// Bounds that keep slow or hostile clients from using up the process's sockets and memory.
struct ServerLimits {
    std::size_t connections = 500;                   ///< most connections open at the same time
    std::size_t bodyBytes = std::size_t{64} * 1024;  ///< largest body of a request
    Duration idle{60'000};                           ///< how long a connection is kept without a request
    Duration receive{10'000};                        ///< time limit from a request's first byte to its last
};

/// Serves one request at a time on each connection. While the server is near its connection limit, it closes
/// each connection after its response, so that more clients than connections can be served in turn.
class HttpServer {
  public:
    /// Starts to listen; throws `asio::system_error` on failure.
    HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint, ServerLimits limits,
               Handler handler);
    /// Closes all connections.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    asio::ip::tcp::endpoint localEndpoint() const { return acceptor_.local_endpoint(); }
    std::size_t connections() const { return connections_.size(); }
    /// True if the number of open connections is close to the limit. Each connection is then closed after
    /// its response.
    bool isNearConnectionLimit() const;

  private:
    class Connection;

    void accept();
    void add(Socket socket);
    /// Closes overdue connections at a fixed interval.
    void sweep();
    void closeOverdue();

    Acceptor acceptor_;
    Timer sweepTimer_;
    ServerLimits limits_;
    Handler handler_;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    /// False once the server is destroyed; held by pending operations, which may complete later.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

}  // namespace burlpoint::transport
