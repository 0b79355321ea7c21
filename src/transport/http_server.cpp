#include "transport/http_server.h"

#include <http_parser.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <string>
#include <utility>
#include <vector>

#include "transport/http_status.h"

namespace burlpoint::transport {

namespace {

constexpr std::size_t kReadBufferBytes = 4096;
constexpr std::size_t kMaxTargetBytes = 2048;                    // length of a request's target
constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;  // all header names and values of a request
/// How long the client's remaining bytes are read and discarded after the last response.
constexpr Duration kLinger{1000};
constexpr Duration kSweepInterval{2000};
constexpr Duration kAcceptRetryDelay{100};
/// One in this many connections is reserved for clients without an open connection.
constexpr std::size_t kReservedDivisor = 10;

const char* reasonPhrase(int status) { return http_status_str(static_cast<::http_status>(status)); }

std::string renderResponse(const Response& response, bool keepAlive) {
    std::string out =
        "HTTP/1.1 " + std::to_string(response.status) + " " + reasonPhrase(response.status) + "\r\n";
    if (!response.body.empty()) out += "Content-Type: application/msgpack\r\n";
    if (response.retryAfter.count() > 0)
        out += "Retry-After: " + std::to_string(response.retryAfter.count()) + "\r\n";
    if (!response.allow.empty()) out += "Allow: " + response.allow + "\r\n";
    if (!keepAlive) out += "Connection: close\r\n";
    out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    return out + response.body;
}

}  // namespace

/// One client's connection. It passes through the states idle, receiving, handling and writing for each
/// request. After its last response it lingers before it is closed.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HttpServer& server, Socket socket) : server_(server), socket_(std::move(socket)) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        enter(State::idle, server_.limits_.idle);
    }

    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](auto error, std::size_t bytes) {
                                    if (self->state_ == State::closed) return;
                                    if (error) return self->close();
                                    if (self->state_ == State::lingering) return self->read();
                                    self->unparsedBegin_ = 0;
                                    self->unparsedEnd_ = bytes;
                                    self->parse();
                                });
    }

    void close() {
        if (state_ == State::closed) return;
        state_ = State::closed;
        asio::error_code ignored;
        socket_.close(ignored);
        server_.connections_.erase(shared_from_this());
    }

    /// True if the client has exceeded the time limit of the current state, so the connection has to be
    /// closed.
    bool isOverdue(Time now) const { return state_ != State::handling && now - since_ > limit_; }

  private:
    enum class State {
        idle,       ///< waits for a request
        receiving,  ///< a part of a request has been received
        handling,   ///< the handler processes the request, without a time limit
        writing,    ///< the response is being written
        lingering,  ///< the last response has been written; waits for the client to close
        closed
    };

    static Connection& connectionOf(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

    /// Enters the state. `limit`: how long the client may take from now on.
    void enter(State state, Duration limit) {
        state_ = state;
        limit_ = limit;
        since_ = Clock::now();
    }

    void parse() {
        static const http_parser_settings kCallbacks = parserCallbacks();
        unparsedBegin_ += http_parser_execute(&parser_, &kCallbacks, buffer_.data() + unparsedBegin_,
                                              unparsedEnd_ - unparsedBegin_);
        if (requestComplete_) return handle();
        if (HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !parser_.upgrade) return read();
        // After a parse error the start of the next request is unknown, so the connection cannot be reused.
        keepAlive_ = false;
        Response malformed;
        malformed.status = http_status::kBadRequest;
        write(malformed);
    }

    static http_parser_settings parserCallbacks() {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = [](http_parser* parser) {
            connectionOf(parser).beginRequest();
            return 0;
        };
        settings.on_url = [](http_parser* parser, const char* at, std::size_t bytes) {
            auto& target = connectionOf(parser).target_;
            target.append(at, bytes);
            return target.size() > kMaxTargetBytes ? 1 : 0;
        };
        const auto countHeaderBytes = [](http_parser* parser, const char*, std::size_t bytes) {
            auto& headerBytes = connectionOf(parser).headerBytes_;
            headerBytes += bytes;
            return headerBytes > kMaxHeaderBytes ? 1 : 0;
        };
        settings.on_header_field = countHeaderBytes;
        settings.on_header_value = countHeaderBytes;
        settings.on_body = [](http_parser* parser, const char* at, std::size_t bytes) {
            return connectionOf(parser).appendBody(at, bytes) ? 0 : 1;
        };
        settings.on_message_complete = [](http_parser* parser) {
            auto& connection = connectionOf(parser);
            connection.requestComplete_ = true;
            connection.keepAlive_ = http_should_keep_alive(parser) != 0;
            // Bytes of a pipelined request stay in the buffer until this one has been answered.
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }

    void beginRequest() {
        request_ = {};
        target_.clear();
        headerBytes_ = 0;
        enter(State::receiving, server_.limits_.receive);
    }

    /// Returns false if the body would exceed the limit. The request is then handled at once, without the
    /// rest of its body.
    bool appendBody(const char* at, std::size_t bytes) {
        if (request_.body.size() + bytes > server_.limits_.bodyBytes) {
            request_.tooLarge = true;
            requestComplete_ = true;
            keepAlive_ = false;
            return false;
        }
        request_.body.append(at, bytes);
        return true;
    }

    void handle() {
        requestComplete_ = false;
        state_ = State::handling;
        request_.method = http_method_str(static_cast<http_method>(parser_.method));
        const auto queryMark = target_.find('?');
        request_.path = target_.substr(0, queryMark);
        if (queryMark != std::string::npos) request_.query = target_.substr(queryMark + 1);
        server_.handler_(std::move(request_), [weak = weak_from_this()](const Response& response) {
            const auto self = weak.lock();
            if (!self || self->state_ != State::handling) return;
            self->keepAlive_ = self->keepAlive_ && !self->server_.isNearConnectionLimit();
            self->write(response);
        });
    }

    void write(const Response& response) {
        // The response to a malformed request has the time limit of receiving a request, not the idle limit.
        const auto& limits = server_.limits_;
        enter(State::writing, state_ == State::receiving ? limits.receive : limits.idle);
        out_ = renderResponse(response, keepAlive_);
        asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](auto error, std::size_t) {
            if (self->state_ == State::closed) return;
            self->out_.clear();
            if (error) return self->close();
            if (self->keepAlive_) return self->awaitRequest();
            self->linger();
        });
    }

    /// Prepares for the next request. The idle time counts from when the response was ready.
    void awaitRequest() {
        state_ = State::idle;
        http_parser_pause(&parser_, 0);
        if (unparsedBegin_ < unparsedEnd_) return parse();
        read();
    }

    /// Waits for the client to close. Closing with unread bytes would reset the connection, and the client
    /// might lose the response. The time limit counts from when the response was ready.
    void linger() {
        state_ = State::lingering;
        limit_ = kLinger;
        asio::error_code ignored;
        socket_.shutdown(asio::socket_base::shutdown_send, ignored);
        read();
    }

    HttpServer& server_;
    Socket socket_;
    State state_ = State::idle;
    Time since_;         // start of the time that `limit_` bounds
    Duration limit_{0};  // time after which the connection is overdue
    http_parser parser_{};
    std::array<char, kReadBufferBytes> buffer_;
    std::size_t unparsedBegin_ = 0;  // position in `buffer_`
    std::size_t unparsedEnd_ = 0;    // position in `buffer_`, after the last unparsed byte
    Request request_;
    std::string target_;
    std::size_t headerBytes_ = 0;
    bool requestComplete_ = false;
    bool keepAlive_ = true;  // whether the connection stays open after the response
    std::string out_;
};

HttpServer::HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint, ServerLimits limits,
                       Handler handler)
    : acceptor_(io), sweepTimer_(io), limits_(limits), handler_(std::move(handler)) {
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    accept();
    sweep();
}

HttpServer::~HttpServer() {
    *isAlive_ = false;
    while (!connections_.empty()) {
        const auto connection = *connections_.begin();
        connection->close();
    }
}

bool HttpServer::isNearConnectionLimit() const {
    return connections_.size() + limits_.connections / kReservedDivisor > limits_.connections;
}

void HttpServer::accept() {
    acceptor_.async_accept([this, isAlive = isAlive_](auto error, Socket socket) {
        if (!*isAlive) return;
        if (!error) {
            add(std::move(socket));
            return accept();
        }
        // No file descriptor is free, or the client has already disconnected. The delay avoids a busy loop.
        sweepTimer_.expires_after(kAcceptRetryDelay);
        sweepTimer_.async_wait([this, isAlive](auto) {
            if (!*isAlive) return;
            accept();
            sweep();
        });
    });
}

/// Above the limit a connection is closed at once, by the destructor of `socket`.
void HttpServer::add(Socket socket) {
    if (connections_.size() >= limits_.connections) return;
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->read();
}

void HttpServer::sweep() {
    sweepTimer_.expires_after(kSweepInterval);
    sweepTimer_.async_wait([this, isAlive = isAlive_](auto error) {
        if (!*isAlive || error) return;
        closeOverdue();
        sweep();
    });
}

void HttpServer::closeOverdue() {
    const auto now = Clock::now();
    std::vector<std::shared_ptr<Connection>> overdue;  // closing one removes it from the set
    for (const auto& connection : connections_)
        if (connection->isOverdue(now)) overdue.push_back(connection);
    for (const auto& connection : overdue) connection->close();
}

}  // namespace burlpoint::transport
