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

/// What came of a request.
struct HttpResult {
    /// The status of a request without a response. Such a request may have been carried out, or may still be.
    static constexpr int kNoResponse = 0;

    int status = kNoResponse;
    std::string body;
    bool tooLarge = false;  ///< a response came, but larger than the client takes; counts as no response

    bool answered() const { return status != kNoResponse; }
    /// Answered with 200.
    bool ok() const { return status == http_status::kOk; }
};

using ResultCallback = std::function<void(HttpResult)>;

class HttpClient {
  public:
    /// The largest body of a response. It limits the memory that a faulty service can take.
    static constexpr std::size_t kMaxResponseBytes = std::size_t{8} * 1024 * 1024;

    /// `maxConnections`: open at the same time, to all addresses together.
    HttpClient(asio::io_context& io, std::size_t maxConnections) : io_(io), maxConnections_(maxConnections) {}
    /// Closes all connections. The callbacks of requests that were sent are not called any more.
    // NOLINTNEXTLINE(bugprone-exception-escape): no timer that exists fails to be cancelled
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request on an open connection to `address`, or on a new one. `done` is called exactly once,
    /// never from inside this call, and after `timeout` at the latest. If all connections that may be open
    /// are busy, the request is not sent, and the result is that of a request without a response.
    void request(const std::string& address, const char* method, const std::string& target,
                 const std::string& body, Duration timeout, ResultCallback done);
    /// Closes the connections that have been idle for longer than `age`.
    void closeIdle(Duration age);

  private:
    class Connection;
    using Pool = std::vector<std::shared_ptr<Connection>>;

    /// Takes a connection that has closed itself out of its pool.
    void remove(Connection* connection);
    void closeOneIdle();

    asio::io_context& io_;
    std::size_t maxConnections_;
    std::size_t openConnections_ = 0;
    std::unordered_map<std::string, Pool> poolsByAddress_;
    /// False while the client is destroyed, when connections close without removing themselves.
    bool isAlive_ = true;
};

}  // namespace burlpoint::transport
