#pragma once

// An HTTP/1.1 client with a pool of open connections for each address. Owns the connections and their
// timeouts. Used on the event loop's thread only; every callback runs there.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "transport/executor.h"
#include "transport/http_status.h"

namespace burlpoint::transport {

/// The outcome of a request.
struct HttpResult {
    /// The status of a request without a response. The server may have executed it, or may still do so.
    static constexpr int kNoResponse = 0;

    int status = kNoResponse;
    std::string body;
    bool tooLarge = false;  ///< the response exceeded `kMaxResponseBytes`; counts as no response

    bool answered() const { return status != kNoResponse; }
    /// True if the response has status 200.
    bool ok() const { return status == http_status::kOk; }
};

using ResultCallback = std::function<void(HttpResult)>;

class HttpClient {
  public:
    /// The largest accepted response body. Limits the memory that a response of a faulty service can take.
    static constexpr std::size_t kMaxResponseBytes = std::size_t{8} * 1024 * 1024;

    /// `maxConnections`: the most connections open at the same time, to all addresses together.
    HttpClient(asio::io_context& io, std::size_t maxConnections) : io_(io), maxConnections_(maxConnections) {}
    /// Closes all connections. The callbacks of requests in flight are not called.
    // NOLINTNEXTLINE(bugprone-exception-escape): cancelling an existing timer does not throw
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request on an idle connection to `address`, or on a new one. `done` is called exactly once,
    /// never before this call returns, and after `timeout` at the latest. If `maxConnections` connections are
    /// open and all have a request in flight, the request is not sent, and its result has no response.
    void request(const std::string& address, const char* method, const std::string& target,
                 const std::string& body, Duration timeout, ResultCallback done);
    /// Closes the connections that have been idle for longer than `age`.
    void closeIdle(Duration age);

  private:
    class Connection;
    using Pool = std::vector<std::shared_ptr<Connection>>;

    /// Removes a connection that has closed itself from its pool.
    void remove(Connection* connection);
    void closeOneIdle();

    asio::io_context& io_;
    std::size_t maxConnections_;
    std::size_t openConnections_ = 0;
    std::unordered_map<std::string, Pool> poolsByAddress_;
    /// False during destruction, when closing connections do not remove themselves from their pools.
    bool isAlive_ = true;
};

}  // namespace burlpoint::transport
