#include "transport/http_server.h"

#include <http_parser.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace burlpoint::transport {

namespace {

constexpr std::size_t kTargetBytes = 2048;
constexpr std::size_t kHeaderBytes = std::size_t{16} * 1024;
constexpr Duration kLinger{1000};
constexpr std::size_t kFreeShare = 10;  // one of so many connections is kept free for clients that come anew

const char* reason(int status) { return http_status_str(static_cast<http_status>(status)); }

std::string render(const Response& response, bool keepAlive) {
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " + reason(response.status) + "\r\n";
    if (!response.body.empty()) out += "Content-Type: application/msgpack\r\n";
    if (response.retryAfter.count() > 0)
        out += "Retry-After: " + std::to_string(response.retryAfter.count()) + "\r\n";
    if (!response.allow.empty()) out += "Allow: " + response.allow + "\r\n";
    if (!keepAlive) out += "Connection: close\r\n";
    out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    return out + response.body;
}

}  // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HttpServer& server, Socket socket)
        : server_(server), socket_(std::move(socket)), since_(Clock::now()) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
    }

    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](auto error, std::size_t n) {
                                    if (self->closed_) return;
                                    if (error) return self->close();
                                    if (self->lingering_) return self->read();
                                    self->begin_ = 0;
                                    self->end_ = n;
                                    self->parse();
                                });
    }

    void close() {
        if (closed_) return;
        closed_ = true;
        asio::error_code ignored;
        socket_.close(ignored);
        server_.connections_.erase(shared_from_this());
    }

    /// Silent and slow peers may not hold their sockets for ever.
    bool overdue(Time now, const ServerLimits& limits) const {
        if (answering_) return false;
        if (lingering_) return now - since_ > kLinger;
        return now - since_ > (receiving_ ? limits.receive : limits.idle);
    }

  private:
    static Connection& of(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

    void parse() {
        static const http_parser_settings kCallbacks = callbacks();
        const auto used = http_parser_execute(&parser_, &kCallbacks, buffer_.data() + begin_, end_ - begin_);
        begin_ += used;
        if (complete_) return dispatch();
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade) {
            Response bad;
            bad.status = 400;
            return write(render(bad, false), false);
        }
        read();
    }

    static http_parser_settings callbacks() {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_begin = [](http_parser* p) {
            auto& c = of(p);
            c.request_ = {};
            c.target_.clear();
            c.headerBytes_ = 0;
            c.receiving_ = true;
            c.since_ = Clock::now();
            return 0;
        };
        s.on_url = [](http_parser* p, const char* at, std::size_t n) {
            auto& c = of(p);
            c.target_.append(at, n);
            return c.target_.size() > kTargetBytes ? 1 : 0;
        };
        const auto header = [](http_parser* p, const char*, std::size_t n) {
            auto& c = of(p);
            c.headerBytes_ += n;
            return c.headerBytes_ > kHeaderBytes ? 1 : 0;
        };
        s.on_header_field = header;
        s.on_header_value = header;
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto& c = of(p);
            if (c.request_.body.size() + n > c.server_.limits_.bodyBytes) {
                c.request_.tooLarge = true;
                c.complete_ = true;  // answered at once; the rest is not read
                c.keepAlive_ = false;
                return 1;
            }
            c.request_.body.append(at, n);
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

    void dispatch() {
        complete_ = false;
        receiving_ = false;
        answering_ = true;
        request_.method = http_method_str(static_cast<http_method>(parser_.method));
        const auto mark = target_.find('?');
        request_.path = target_.substr(0, mark);
        if (mark != std::string::npos) request_.query = target_.substr(mark + 1);
        server_.handler_(std::move(request_), [weak = weak_from_this()](const Response& response) {
            const auto self = weak.lock();
            if (!self || self->closed_ || !self->answering_) return;
            const bool keepAlive = self->keepAlive_ && !self->server_.isCrowded();
            self->write(render(response, keepAlive), keepAlive);
        });
    }

    void write(std::string text, bool keepAlive) {
        answering_ = false;
        since_ = Clock::now();
        out_ = std::move(text);
        asio::async_write(socket_, asio::buffer(out_),
                          [self = shared_from_this(), keepAlive](auto error, std::size_t) {
                              if (self->closed_) return;
                              self->out_.clear();
                              if (error) return self->close();
                              if (!keepAlive) return self->linger();
                              http_parser_pause(&self->parser_, 0);
                              if (self->begin_ < self->end_) return self->parse();
                              self->read();
                          });
    }

    // Closing with bytes unread would reset the connection, and the peer might lose the answer.
    void linger() {
        lingering_ = true;
        asio::error_code ignored;
        socket_.shutdown(asio::socket_base::shutdown_send, ignored);
        read();
    }

    HttpServer& server_;
    Socket socket_;
    http_parser parser_{};
    std::array<char, 4096> buffer_;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    Request request_;
    std::string target_;
    std::string out_;
    std::size_t headerBytes_ = 0;
    bool complete_ = false;
    bool keepAlive_ = true;
    bool receiving_ = false;
    bool answering_ = false;
    bool lingering_ = false;
    bool closed_ = false;
    Time since_;
};

HttpServer::HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& at, ServerLimits limits,
                       Handler handler)
    : acceptor_(io), sweeper_(io), limits_(limits), handler_(std::move(handler)) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen();
    accept();
    sweep();
}

HttpServer::~HttpServer() {
    *alive_ = false;
    while (!connections_.empty()) {
        const auto connection = *connections_.begin();
        connection->close();
    }
}

bool HttpServer::isCrowded() const {
    return connections_.size() + limits_.connections / kFreeShare > limits_.connections;
}

void HttpServer::accept() {
    acceptor_.async_accept([this, alive = alive_](auto error, Socket socket) {
        if (!*alive) return;
        if (error) {
            // Out of descriptors or a peer already gone: a short pause keeps this from spinning.
            sweeper_.expires_after(std::chrono::milliseconds(100));
            sweeper_.async_wait([this, alive](auto) {
                if (!*alive) return;
                accept();
                sweep();
            });
            return;
        }
        if (connections_.size() < limits_.connections) {
            asio::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.insert(connection);
            connection->read();
        }
        accept();
    });
}

void HttpServer::sweep() {
    sweeper_.expires_after(std::chrono::seconds(2));
    sweeper_.async_wait([this, alive = alive_](auto error) {
        if (!*alive || error) return;
        std::vector<std::shared_ptr<Connection>> overdue;
        for (const auto& connection : connections_)
            if (connection->overdue(Clock::now(), limits_)) overdue.push_back(connection);
        for (const auto& connection : overdue) connection->close();
        sweep();
    });
}

}  // namespace burlpoint::transport
