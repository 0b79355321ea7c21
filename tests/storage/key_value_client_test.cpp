// The key-value store's client when responses exceed the HTTP client's maximum size.
#include "storage/key_value_client.h"

#include <gtest/gtest.h>

#include <optional>

#include "base/clock.h"
#include "transport/endpoint.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using storage::ReadStatus;
using transport::HttpClient;

namespace {

/// A key-value store whose responses are all larger than the HTTP client accepts.
struct OversizedResponses {
    asio::io_context io{1};
    transport::HttpServer server{io,
                                 transport::parseEndpoint("127.0.0.1:0"),
                                 {},
                                 [](transport::Request&&, const transport::Reply& reply) {
                                     transport::Response response;
                                     response.body.assign(HttpClient::kMaxResponseBytes + 1, 'x');
                                     reply(response);
                                 }};
    HttpClient http{io, 4};
    storage::KeyValueClient client{http, "127.0.0.1:" + std::to_string(server.localEndpoint().port()), 100, 1,
                                   Clock::now()};

    ReadStatus awaitRead(const std::function<void(storage::KeyValueClient::PageCallback)>& read) {
        std::optional<ReadStatus> status;
        read([&](ReadStatus readStatus, const protocol::KeyPage&) { status = readStatus; });
        while (!status) io.run_one();
        return *status;
    }
};

}  // namespace

// A controller that was disconnected while many large bitmaps were stored must read all keys by pages instead
// of retrying the same watch without end.
TEST(KeyValueClient, OversizedWatchResponseRequiresFullRead) {
    OversizedResponses store;
    EXPECT_EQ(store.awaitRead([&](auto done) { store.client.watch("bp/", 7, 0ms, 5000ms, std::move(done)); }),
              ReadStatus::tooOld);
}

TEST(KeyValueClient, OversizedPageResponseIsAFailedRead) {
    OversizedResponses store;
    EXPECT_EQ(store.awaitRead([&](auto done) { store.client.page("bp/", "", std::move(done)); }),
              ReadStatus::failed);
}
