#pragma once

#include <http_parser.h>

#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burlpoint::transport {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = std::chrono::milliseconds;

// Sockets and timers bound to the event loop's own executor type: the default one is type-erased, which costs
// several indirect calls and copies for each operation.
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;
using Timer = asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Executor>;

/// For the constructor of the event loop of a process whose only thread runs it: without locks.
inline constexpr int kSingleThread = ASIO_CONCURRENCY_HINT_UNSAFE;

struct Request {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    bool oversize = false;  // the body went over the limit and was not kept
};

struct Response {
    int status = 200;
    std::string body;
    std::chrono::seconds retryAfter{0};  // 0: no such header
    std::string allow;                   // methods for a 405
};

using Reply = std::function<void(Response)>;
using Handler = std::function<void(Request&&, Reply)>;

struct ServerLimits {
    std::size_t connections = 500;
    std::size_t bodyBytes = std::size_t{64} * 1024;
    Duration idle{60'000};     // a connection without a request under way
    Duration receive{10'000};  // from a request's first byte to its last
};

/// An HTTP/1.1 server: one request at a time per connection, bounded in connections, bytes and time. Where
/// most of its connections are in use, each is closed with its answer, so that more clients than connections
/// take turns.
class Server {
  public:
    Server(asio::io_context& io, const asio::ip::tcp::endpoint& at, ServerLimits limits, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

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

/// What came of a request. Status 0: no response, so it may have been carried out or may yet be.
struct Outcome {
    int status = 0;
    std::string body;
    bool oversize = false;  // a response came that was larger than this client takes; its status is 0
    bool ok() const { return status == 200; }
};

using Done = std::function<void(Outcome)>;

/// An HTTP/1.1 client with pools of open connections per address.
class Client {
  public:
    Client(asio::io_context& io, std::size_t connections) : io_(io), limit_(connections) {}
    // NOLINTNEXTLINE(bugprone-exception-escape): no timer that exists fails to be cancelled
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    static constexpr std::size_t kMaxResponseBytes = std::size_t{8} * 1024 * 1024;

    /// `done` is called exactly once, never from inside this call. A request that finds the table of
    /// connections full of others under way fails at once with status 0.
    void request(const std::string& address, const char* method, const std::string& target,
                 const std::string& body, Duration timeout, Done done);
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

inline std::uint64_t timeOfDayMs() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

/// "10.0.0.1:8080" as an endpoint; throws std::invalid_argument when it is none.
asio::ip::tcp::endpoint parseEndpoint(const std::string& text);

}  // namespace burlpoint::transport
