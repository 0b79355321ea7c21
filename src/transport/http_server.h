#pragma once

#include <cstddef>
#include <memory>
#include <unordered_set>

#include "base/clock.h"
#include "transport/executor.h"
#include "transport/http_message.h"

namespace burlpoint::transport {

struct ServerLimits {
    std::size_t connections = 500;
    std::size_t bodyBytes = std::size_t{64} * 1024;
    Duration idle{60'000};     // a connection without a request under way
    Duration receive{10'000};  // from a request's first byte to its last
};

/// An HTTP/1.1 server: one request at a time per connection, bounded in connections, bytes and time. Where
/// most of its connections are in use, each is closed with its answer, so that more clients than connections
/// take turns.
class HttpServer {
  public:
    HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& at, ServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    asio::ip::tcp::endpoint localEndpoint() const { return acceptor_.local_endpoint(); }
    std::size_t connections() const { return connections_.size(); }
    /// So few connections are left that none is kept open for a later request.
    bool isCrowded() const;

  private:
    class Connection;
    void accept();
    void sweep();

    Acceptor acceptor_;
    Timer sweeper_;
    ServerLimits limits_;
    Handler handler_;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burlpoint::transport
