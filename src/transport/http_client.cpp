#include "transport/http_client.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "transport/endpoint.h"

namespace burlpoint::transport {

namespace {

constexpr std::size_t kReadBufferBytes = 4096;

std::string renderRequest(const std::string& address, const char* method, const std::string& target,
                          const std::string& body) {
    std::string out = std::string(method) + " " + target + " HTTP/1.1\r\nHost: " + address + "\r\n";
    if (!body.empty()) out += "Content-Type: application/msgpack\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

/// One connection to one address, with at most one request at a time. It connects with its first request and
/// is kept open for later ones. Pending asynchronous operations hold shared pointers to it, so it may outlive
/// its pool.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HttpClient& client, std::string address)
        : client_(client), address_(std::move(address)), socket_(client.io_), timer_(client.io_) {
        parser_.data = this;
    }

    const std::string& address() const { return address_; }
    /// Whether a request is in flight.
    bool isBusy() const { return static_cast<bool>(callback_); }
    bool isIdleFor(Duration age) const { return !isBusy() && Clock::now() - idleSince_ > age; }

    /// Sends a request. The connection must not be busy.
    void send(const char* method, const std::string& target, const std::string& body, Duration timeout,
              ResultCallback done) {
        callback_ = std::move(done);
        result_ = {};
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        responseComplete_ = false;
        out_ = renderRequest(address_, method, target, body);
        startTimeout(timeout);
        if (state_ == State::connected) return write();
        connect();
    }

    /// Closes the connection. A request in flight completes without a response.
    void fail() {
        if (state_ == State::closed) return;
        close();
        result_ = {};
        result_.tooLarge = responseTooLarge_;
        finish();
    }

    void close() {
        if (state_ == State::closed) return;
        state_ = State::closed;
        asio::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        client_.remove(this);
    }

    /// Discards the callback of the request in flight without calling it.
    void discardCallback() { callback_ = nullptr; }

  private:
    enum class State { unconnected, connected, closed };

    static Connection& connectionOf(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

    void startTimeout(Duration timeout) {
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this()](auto error) {
            // The wait of an earlier request may complete just as a later request restarts the timer.
            const bool hasExpired = self->timer_.expiry() <= Clock::now();
            if (!error && hasExpired && self->isBusy()) self->fail();
        });
    }

    void connect() {
        asio::ip::tcp::endpoint endpoint;
        try {
            endpoint = parseEndpoint(address_);
        } catch (const std::exception&) {
            // Deferred, since `request` must not call the callback before it returns.
            asio::post(client_.io_, [self = shared_from_this()] { self->fail(); });
            return;
        }
        socket_.async_connect(endpoint, [self = shared_from_this()](auto error) {
            if (self->state_ == State::closed) return;
            if (error) return self->fail();
            asio::error_code ignored;
            self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->state_ = State::connected;
            self->read();
            self->write();
        });
    }

    void write() {
        asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](auto error, std::size_t) {
            if (error && self->state_ != State::closed) self->fail();
        });
    }

    /// A read is always pending, also while the connection is idle, so that a connection closed by the server
    /// is removed from its pool at once.
    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](auto error, std::size_t bytes) {
                                    if (self->state_ == State::closed) return;
                                    // Bytes received without a request in flight are an error as well.
                                    if (error || !self->isBusy()) return self->fail();
                                    self->parse(bytes);
                                });
    }

    void parse(std::size_t bytes) {
        static const http_parser_settings kCallbacks = parserCallbacks();
        http_parser_execute(&parser_, &kCallbacks, buffer_.data(), bytes);
        if (responseComplete_) return completeResponse();
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return fail();
        read();
    }

    void completeResponse() {
        result_.status = parser_.status_code;
        timer_.cancel();
        idleSince_ = Clock::now();
        if (keepAlive_)
            read();
        else
            close();
        finish();
    }

    static http_parser_settings parserCallbacks() {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_body = [](http_parser* parser, const char* at, std::size_t bytes) {
            return connectionOf(parser).appendBody(at, bytes) ? 0 : 1;
        };
        settings.on_message_complete = [](http_parser* parser) {
            auto& connection = connectionOf(parser);
            connection.responseComplete_ = true;
            connection.keepAlive_ = http_should_keep_alive(parser) != 0;
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }

    /// Returns false, which stops the parser, if the body would exceed `kMaxResponseBytes`.
    bool appendBody(const char* at, std::size_t bytes) {
        if (result_.body.size() + bytes > kMaxResponseBytes) {
            responseTooLarge_ = true;
            return false;
        }
        result_.body.append(at, bytes);
        return true;
    }

    /// Passes the result to the callback. The connection already accepts another request, which the callback
    /// may send.
    void finish() {
        if (!isBusy()) return;
        const auto done = std::exchange(callback_, nullptr);
        done(std::exchange(result_, {}));
    }

    HttpClient& client_;
    std::string address_;
    State state_ = State::unconnected;
    Socket socket_;
    Timer timer_;  // timeout of the request in flight
    http_parser parser_{};
    std::array<char, kReadBufferBytes> buffer_;
    std::string out_;          // the encoded request in flight
    HttpResult result_;        // the part of the response received so far
    ResultCallback callback_;  // set while a request is in flight
    bool responseComplete_ = false;
    bool responseTooLarge_ = false;  // the reason for closing the connection
    bool keepAlive_ = true;          // according to the last response
    Time idleSince_ = Clock::now();
};

// NOLINTNEXTLINE(bugprone-exception-escape): cancelling an existing timer does not throw
HttpClient::~HttpClient() {
    isAlive_ = false;
    const auto pools = std::move(poolsByAddress_);
    for (const auto& [address, pool] : pools)
        for (const auto& connection : pool) {
            connection->discardCallback();
            connection->close();
        }
}

void HttpClient::closeOneIdle() {
    for (const auto& [address, pool] : poolsByAddress_)
        for (const auto& connection : pool)
            if (!connection->isBusy()) {
                // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): must survive its removal
                const auto idle = connection;
                return idle->close();
            }
}

void HttpClient::request(const std::string& address, const char* method, const std::string& target,
                         const std::string& body, Duration timeout, ResultCallback done) {
    auto& pool = poolsByAddress_[address];
    const auto idle = std::find_if(pool.begin(), pool.end(), [](const auto& c) { return !c->isBusy(); });
    if (idle != pool.end()) {
        const auto connection = *idle;
        return connection->send(method, target, body, timeout, std::move(done));
    }
    // At the limit, an idle connection to another address is closed.
    if (openConnections_ >= maxConnections_) closeOneIdle();
    if (openConnections_ >= maxConnections_) {
        if (pool.empty()) poolsByAddress_.erase(address);
        asio::post(io_, [done = std::move(done)] { done({}); });
        return;
    }
    ++openConnections_;
    const auto connection = pool.emplace_back(std::make_shared<Connection>(*this, address));
    connection->send(method, target, body, timeout, std::move(done));
}

void HttpClient::closeIdle(Duration age) {
    Pool stale;  // collected first, since closing a connection modifies its pool
    for (const auto& [address, pool] : poolsByAddress_)
        for (const auto& connection : pool)
            if (connection->isIdleFor(age)) stale.push_back(connection);
    for (const auto& connection : stale) connection->close();
}

void HttpClient::remove(Connection* connection) {
    if (!isAlive_) return;
    const auto found = poolsByAddress_.find(connection->address());
    if (found == poolsByAddress_.end()) return;
    auto& pool = found->second;
    openConnections_ -= std::erase_if(pool, [&](const auto& c) { return c.get() == connection; });
    if (pool.empty()) poolsByAddress_.erase(found);
}

}  // namespace burlpoint::transport
