#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "transport/executor.h"

namespace burlpoint::transport {

/// What came of a request. Status 0: no response, so it may have been carried out or may yet be.
struct HttpResult {
    int status = 0;
    std::string body;
    bool tooLarge = false;  // a response came that was larger than this client takes; its status is 0
    bool ok() const { return status == 200; }
};

using ResultCallback = std::function<void(HttpResult)>;

/// An HTTP/1.1 client with pools of open connections per address.
class HttpClient {
  public:
    HttpClient(asio::io_context& io, std::size_t connections) : io_(io), limit_(connections) {}
    // NOLINTNEXTLINE(bugprone-exception-escape): no timer that exists fails to be cancelled
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    static constexpr std::size_t kMaxResponseBytes = std::size_t{8} * 1024 * 1024;

    /// `done` is called exactly once, never from inside this call. A request that finds the table of
    /// connections full of others under way fails at once with status 0.
    void request(const std::string& address, const char* method, const std::string& target,
                 const std::string& body, Duration timeout, ResultCallback done);
    /// Closes idle connections unused for `age`.
    void closeIdle(Duration age);

  private:
    class Connection;
    void remove(Connection* connection);
    void closeOneIdle();

    asio::io_context& io_;
    std::size_t limit_;
    std::size_t open_ = 0;
    std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> pools_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burlpoint::transport
