#include "transport/http_client.h"

#include <http_parser.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include "transport/endpoint.h"

namespace burlpoint::transport {

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HttpClient& client, std::string address)
        : client_(client), address_(std::move(address)), socket_(client.io_), timer_(client.io_) {
        parser_.data = this;
    }

    const std::string& address() const { return address_; }
    bool busy() const { return static_cast<bool>(done_); }
    bool idleFor(Duration age) const { return !busy() && Clock::now() - since_ > age; }

    void send(const char* method, const std::string& target, const std::string& body, Duration timeout,
              ResultCallback done) {
        done_ = std::move(done);
        outcome_ = {};
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        complete_ = false;
        out_ = std::string(method) + " " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n";
        if (!body.empty()) out_ += "Content-Type: application/msgpack\r\n";
        out_ += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this()](auto error) {
            if (!error && self->timer_.expiry() <= Clock::now() && self->busy()) self->fail();
        });
        if (connected_) return write();
        asio::ip::tcp::endpoint endpoint;
        try {
            endpoint = parseEndpoint(address_);
        } catch (const std::exception&) {
            asio::post(client_.io_, [self = shared_from_this()] { self->fail(); });
            return;
        }
        socket_.async_connect(endpoint, [self = shared_from_this()](auto error) {
            if (self->closed_) return;
            if (error) return self->fail();
            asio::error_code ignored;
            self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->connected_ = true;
            self->read();
            self->write();
        });
    }

    /// Closes the socket; a request under way ends without a response.
    void fail() {
        if (closed_) return;
        close();
        outcome_ = {};
        outcome_.tooLarge = oversize_;
        finish();
    }

    void close() {
        if (closed_) return;
        closed_ = true;
        asio::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        client_.remove(this);
    }

    void abandon() { done_ = nullptr; }

  private:
    static Connection& of(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

    void write() {
        asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](auto error, std::size_t) {
            if (error && !self->closed_) self->fail();
        });
    }

    // One read is always under way, so a connection that the other side closes leaves the pool at once.
    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](auto error, std::size_t n) {
                                    if (self->closed_) return;
                                    if (error || !self->busy()) return self->fail();
                                    self->parse(n);
                                });
    }

    void parse(std::size_t n) {
        static const http_parser_settings kCallbacks = callbacks();
        http_parser_execute(&parser_, &kCallbacks, buffer_.data(), n);
        if (!complete_) {
            if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return fail();
            return read();
        }
        outcome_.status = parser_.status_code;
        timer_.cancel();
        since_ = Clock::now();
        if (!keepAlive_) {
            close();
        } else {
            read();
        }
        finish();
    }

    static http_parser_settings callbacks() {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto& c = of(p);
            if (c.outcome_.body.size() + n > kMaxResponseBytes) {
                c.oversize_ = true;
                return 1;
            }
            c.outcome_.body.append(at, n);
            return 0;
        };
        s.on_message_complete = [](http_parser* p) {
            auto& c = of(p);
            c.complete_ = true;
            c.keepAlive_ = http_should_keep_alive(p) != 0;
            http_parser_pause(p, 1);
            return 0;
        };
        return s;
    }

    void finish() {
        if (!done_) return;
        const auto done = std::exchange(done_, nullptr);
        done(std::exchange(outcome_, {}));
    }

    HttpClient& client_;
    std::string address_;
    Socket socket_;
    Timer timer_;
    http_parser parser_{};
    std::array<char, 4096> buffer_;
    std::string out_;
    HttpResult outcome_;
    ResultCallback done_;
    bool oversize_ = false;  // the response under way; the connection is closed for it
    bool connected_ = false;
    bool complete_ = false;
    bool keepAlive_ = true;
    bool closed_ = false;
    Time since_ = Clock::now();
};

// NOLINTNEXTLINE(bugprone-exception-escape): no timer that exists fails to be cancelled
HttpClient::~HttpClient() {
    *alive_ = false;
    auto pools = std::move(pools_);
    for (auto& [address, pool] : pools)
        for (auto& connection : pool) {
            connection->abandon();
            connection->close();
        }
}

void HttpClient::closeOneIdle() {
    for (const auto& [address, pool] : pools_)
        for (const auto& connection : pool)
            if (!connection->busy()) {
                // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): it outlives its removal
                const auto idle = connection;
                return idle->close();
            }
}

void HttpClient::request(const std::string& address, const char* method, const std::string& target,
                         const std::string& body, Duration timeout, ResultCallback done) {
    auto& pool = pools_[address];
    const auto idle = std::find_if(pool.begin(), pool.end(), [](const auto& c) { return !c->busy(); });
    if (idle != pool.end()) {
        const auto connection = *idle;
        return connection->send(method, target, body, timeout, std::move(done));
    }
    // Connections kept for later give way to one that is needed now.
    if (open_ >= limit_) closeOneIdle();
    if (open_ >= limit_) {
        if (pool.empty()) pools_.erase(address);
        asio::post(io_, [done = std::move(done)] { done({}); });
        return;
    }
    ++open_;
    const auto connection = pool.emplace_back(std::make_shared<Connection>(*this, address));
    connection->send(method, target, body, timeout, std::move(done));
}

void HttpClient::closeIdle(Duration age) {
    std::vector<std::shared_ptr<Connection>> stale;
    for (const auto& [address, pool] : pools_)
        for (const auto& connection : pool)
            if (connection->idleFor(age)) stale.push_back(connection);
    for (const auto& connection : stale) connection->close();
}

void HttpClient::remove(Connection* connection) {
    if (!*alive_) return;
    const auto found = pools_.find(connection->address());
    if (found == pools_.end()) return;
    open_ -= std::erase_if(found->second, [&](const auto& c) { return c.get() == connection; });
    if (found->second.empty()) pools_.erase(found);
}

}  // namespace burlpoint::transport
