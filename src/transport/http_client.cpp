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

constexpr std::size_t kReadBytes = 4096;  // read at a time

std::string renderRequest(const std::string& address, const char* method, const std::string& target,
                          const std::string& body) {
    std::string out = std::string(method) + " " + target + " HTTP/1.1\r\nHost: " + address + "\r\n";
    if (!body.empty()) out += "Content-Type: application/msgpack\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

/// One connection to one address, with at most one request at a time. It connects with its first request and
/// is kept open for later ones. Pending operations hold it by shared pointers, so it may outlive its pool.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HttpClient& client, std::string address)
        : client_(client), address_(std::move(address)), socket_(client.io_), timer_(client.io_) {
        parser_.data = this;
    }

    const std::string& address() const { return address_; }
    /// Whether a request is under way.
    bool isBusy() const { return static_cast<bool>(done_); }
    bool isIdleFor(Duration age) const { return !isBusy() && Clock::now() - idleSince_ > age; }

    /// The connection must not be busy.
    void send(const char* method, const std::string& target, const std::string& body, Duration timeout,
              ResultCallback done) {
        done_ = std::move(done);
        result_ = {};
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        responseComplete_ = false;
        out_ = renderRequest(address_, method, target, body);
        startTimeout(timeout);
        if (state_ == State::connected) return write();
        connect();
    }

    /// Closes the connection. A request under way ends without a response.
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

    /// Drops the request under way without calling its callback.
    void abandon() { done_ = nullptr; }

  private:
    enum class State { unconnected, connected, closed };

    static Connection& of(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

    void startTimeout(Duration timeout) {
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this()](auto error) {
            // The wait of an earlier request may complete just as a later request sets the timer anew.
            const bool isOver = self->timer_.expiry() <= Clock::now();
            if (!error && isOver && self->isBusy()) self->fail();
        });
    }

    void connect() {
        asio::ip::tcp::endpoint endpoint;
        try {
            endpoint = parseEndpoint(address_);
        } catch (const std::exception&) {
            // Later, since no callback may run from inside `request`.
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

    /// One read is always under way, also while the connection is idle, so that a connection closed by the
    /// other side leaves its pool at once.
    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](auto error, std::size_t bytes) {
                                    if (self->state_ == State::closed) return;
                                    // Bytes that no request asked for are an error as well.
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
            return of(parser).appendBody(at, bytes) ? 0 : 1;
        };
        settings.on_message_complete = [](http_parser* parser) {
            auto& connection = of(parser);
            connection.responseComplete_ = true;
            connection.keepAlive_ = http_should_keep_alive(parser) != 0;
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }

    /// False if the response becomes too large, which ends the parsing.
    bool appendBody(const char* at, std::size_t bytes) {
        if (result_.body.size() + bytes > kMaxResponseBytes) {
            responseTooLarge_ = true;
            return false;
        }
        result_.body.append(at, bytes);
        return true;
    }

    /// Hands over the result. The connection is ready for another request by then, which the callback may
    /// send.
    void finish() {
        if (!isBusy()) return;
        const auto done = std::exchange(done_, nullptr);
        done(std::exchange(result_, {}));
    }

    HttpClient& client_;
    std::string address_;
    State state_ = State::unconnected;
    Socket socket_;
    Timer timer_;  // of the request under way
    http_parser parser_{};
    std::array<char, kReadBytes> buffer_;
    std::string out_;      // the request under way
    HttpResult result_;    // as far as the response has come
    ResultCallback done_;  // set while a request is under way
    bool responseComplete_ = false;
    bool responseTooLarge_ = false;  // the connection is closed for it
    bool keepAlive_ = true;          // as the last response says
    Time idleSince_ = Clock::now();
};

// NOLINTNEXTLINE(bugprone-exception-escape): no timer that exists fails to be cancelled
HttpClient::~HttpClient() {
    isAlive_ = false;
    const auto pools = std::move(poolsByAddress_);
    for (const auto& [address, pool] : pools)
        for (const auto& connection : pool) {
            connection->abandon();
            connection->close();
        }
}

void HttpClient::closeOneIdle() {
    for (const auto& [address, pool] : poolsByAddress_)
        for (const auto& connection : pool)
            if (!connection->isBusy()) {
                // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): it outlives its removal
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
    // An idle connection to another address gives way.
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
    Pool stale;  // closing a connection changes its pool
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
