// The HTTP server and client over loopback: limits, reuse of connections, and input that is not HTTP.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "transport/endpoint.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

using namespace burlpoint::transport;
using namespace std::chrono_literals;

namespace {

/// A server on loopback that answers with the method, the path and the body's size.
struct EchoServer {
    asio::io_context io{1};
    std::unique_ptr<HttpServer> server;
    std::string address;

    explicit EchoServer(ServerLimits limits = {}) {
        server = std::make_unique<HttpServer>(
            io, parseEndpoint("127.0.0.1:0"), limits, [](Request&& r, const Reply& reply) {
                Response response;
                response.status = r.tooLarge ? 413 : 200;
                response.body = r.method + " " + r.path + "?" + r.query + " " + std::to_string(r.body.size());
                reply(response);
            });
        address = "127.0.0.1:" + std::to_string(server->localEndpoint().port());
    }
    HttpResult send(HttpClient& client, const char* method, const std::string& target,
                    const std::string& body = {}) {
        HttpResult out;
        bool done = false;
        client.request(address, method, target, body, 5000ms, [&](HttpResult r) {
            out = std::move(r);
            done = true;
        });
        while (!done) io.run_one();
        return out;
    }
    /// Sends raw bytes and returns everything that the server sends until it closes the connection.
    std::string sendRaw(const std::string& bytes) {
        asio::ip::tcp::socket socket(io);
        socket.connect(parseEndpoint(address));
        asio::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        socket.shutdown(asio::socket_base::shutdown_send, ignored);
        std::string out;
        std::array<char, 2048> buffer;
        bool open = true;
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(buffer), [&](auto error, std::size_t n) {
                out.append(buffer.data(), n);
                if (error)
                    open = false;
                else
                    read();
            });
        };
        read();
        while (open) io.run_one();
        return out;
    }
};

/// `count` clients with one connection each.
std::vector<std::unique_ptr<HttpClient>> makeClients(EchoServer& echo, std::size_t count) {
    std::vector<std::unique_ptr<HttpClient>> clients(count);
    for (auto& client : clients) client = std::make_unique<HttpClient>(echo.io, 1);
    return clients;
}

/// Sends a request from each client, one after the other. Each has to get a response.
void sendFromAll(EchoServer& echo, const std::vector<std::unique_ptr<HttpClient>>& clients) {
    for (const auto& client : clients) ASSERT_EQ(echo.send(*client, "GET", "/").status, 200);
}

}  // namespace

TEST(Http, ConsecutiveRequestsShareOneConnection) {
    EchoServer echo;
    HttpClient client(echo.io, 10);
    EXPECT_EQ(echo.send(client, "GET", "/a/b?c=1").body, "GET /a/b?c=1 0");
    EXPECT_EQ(echo.send(client, "POST", "/x", std::string(60'000, 'y')).body, "POST /x? 60000");
    EXPECT_EQ(echo.server->connections(), 1u);
}

TEST(Http, OversizedRequestGets413AndTheNextOneIsServed) {
    EchoServer echo;
    HttpClient client(echo.io, 10);
    EXPECT_EQ(echo.send(client, "POST", "/x", std::string(70'000, 'y')).status, 413);
    EXPECT_EQ(echo.send(client, "GET", "/after").status, 200);
}

TEST(Http, RequestThatCannotBeSentHasNoResponse) {
    EchoServer echo;
    HttpClient client(echo.io, 0);
    EXPECT_FALSE(echo.send(client, "GET", "/").answered());
    HttpClient other(echo.io, 1);
    echo.address = "127.0.0.1:1";
    EXPECT_FALSE(echo.send(other, "GET", "/").answered());
    echo.address = "nonsense";
    EXPECT_FALSE(echo.send(other, "GET", "/").answered());
}

// Guards against a leader that cannot send to a machine because all its connections are open to machines to
// which it has nothing to send. This happened with a large fleet.
TEST(Http, IdleConnectionIsClosedWhenAnotherIsNeeded) {
    EchoServer one, other;
    HttpClient client(one.io, 1);
    EXPECT_EQ(one.send(client, "GET", "/").status, 200);
    std::optional<int> status;
    client.request(other.address, "GET", "/", "", 2000ms, [&](HttpResult r) { status = r.status; });
    while (!status) {
        one.io.run_one_for(1ms);
        other.io.run_one_for(1ms);
    }
    EXPECT_EQ(*status, 200);
}

TEST(Http, ConnectionBeyondTheLimitIsClosed) {
    ServerLimits limits;
    limits.connections = 1;
    EchoServer echo(limits);
    HttpClient client(echo.io, 10);
    EXPECT_EQ(echo.send(client, "GET", "/").status, 200);
    EXPECT_EQ(echo.sendRaw("GET / HTTP/1.1\r\n\r\n"), "");
    EXPECT_EQ(echo.send(client, "GET", "/").status, 200);
}

// With more machines than the controller has sockets, each machine still gets its responses.
TEST(Http, MoreClientsThanConnectionsAreAllServed) {
    ServerLimits limits;
    limits.connections = 20;
    EchoServer echo(limits);
    const auto clients = makeClients(echo, 100);
    for (int round = 0; round < 3; ++round) sendFromAll(echo, clients);
    EXPECT_LE(echo.server->connections(), limits.connections);
}

TEST(Http, ConnectionsStayOpenWhileNotNearTheLimit) {
    ServerLimits limits;
    limits.connections = 20;
    EchoServer echo(limits);
    const auto clients = makeClients(echo, 18);
    for (int round = 0; round < 2; ++round) sendFromAll(echo, clients);
    EXPECT_EQ(echo.server->connections(), 18u);
}

TEST(Http, OversizedResponseIsReportedAsTooLarge) {
    asio::io_context io{1};
    HttpServer server(io, parseEndpoint("127.0.0.1:0"), {}, [](Request&& request, const Reply& reply) {
        Response response;
        if (request.path == "/large") response.body.assign(HttpClient::kMaxResponseBytes + 1, 'x');
        reply(response);
    });
    HttpClient client(io, 2);
    const auto get = [&](const char* target) {
        std::optional<HttpResult> result;
        client.request("127.0.0.1:" + std::to_string(server.localEndpoint().port()), "GET", target, "",
                       5000ms, [&](HttpResult r) { result = std::move(r); });
        while (!result) io.run_one();
        return *result;
    };
    const auto large = get("/large");
    EXPECT_FALSE(large.answered());
    EXPECT_TRUE(large.tooLarge);
    const auto small = get("/small");
    EXPECT_EQ(small.status, 200);
    EXPECT_FALSE(small.tooLarge);
}

TEST(Http, MalformedRequestGets400) {
    EchoServer echo;
    EXPECT_EQ(echo.sendRaw("nonsense\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(echo.sendRaw("GET /" + std::string(5000, 'a') + " HTTP/1.1\r\n\r\n").substr(0, 12),
              "HTTP/1.1 400");
    EXPECT_EQ(echo.sendRaw("GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a')).substr(0, 12), "HTTP/1.1 400");
}

// The server keeps serving after it has received arbitrary bytes, also after a truncated request.
RC_GTEST_PROP(Http, ServerKeepsServingAfterArbitraryBytes, (const std::string& tail)) {
    EchoServer echo;
    const std::string request = "POST /p HTTP/1.1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
    const auto cut = *rc::gen::inRange<std::size_t>(0, request.size() + 1);
    echo.sendRaw(request.substr(0, cut) + tail);
    HttpClient client(echo.io, 2);
    RC_ASSERT(echo.send(client, "GET", "/still").status == 200);
}

TEST(Http, ParseEndpointRefusesAllButAddressAndPort) {
    EXPECT_EQ(parseEndpoint("10.0.0.1:80").port(), 80);
    for (const char* invalid :
         {"", "10.0.0.1", "host:80", "10.0.0.1:", "10.0.0.1:80x", "10.0.0.1:70000", "::1"})
        EXPECT_THROW(parseEndpoint(invalid), std::invalid_argument) << invalid;
}
