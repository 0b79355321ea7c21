// The client of the state service where a response is larger than a node takes.
#include <gtest/gtest.h>

#include <optional>

#include "storage/store.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using storage::ReadStatus;
using transport::Client;

namespace {

/// A state service whose every response is larger than a client takes.
struct LargeAnswers {
    asio::io_context io{1};
    transport::Server server{io,
                             transport::parseEndpoint("127.0.0.1:0"),
                             {},
                             [](transport::Request&&, const transport::Reply& reply) {
                                 transport::Response response;
                                 response.body.assign(Client::kMaxResponseBytes + 1, 'x');
                                 reply(response);
                             }};
    Client http{io, 4};
    storage::StateClient state{http, "127.0.0.1:" + std::to_string(server.localEndpoint().port()), 100, 1,
                               transport::Clock::now()};

    ReadStatus awaitRead(const std::function<void(storage::StateClient::PageDone)>& read) {
        std::optional<ReadStatus> status;
        read([&](ReadStatus came, const protocol::KeyPage&) { status = came; });
        while (!status) io.run_one();
        return *status;
    }
};

}  // namespace

// A node that was away while many large bitmaps were stored would ask for the same changes for ever.
TEST(StateClient, ChangesTooLargeForOneResponseAreReadAnew) {
    LargeAnswers service;
    EXPECT_EQ(
        service.awaitRead([&](auto done) { service.state.watch("bp/", 7, 0ms, 5000ms, std::move(done)); }),
        ReadStatus::tooOld);
}

TEST(StateClient, APageTooLargeIsAFailedRead) {
    LargeAnswers service;
    EXPECT_EQ(service.awaitRead([&](auto done) { service.state.page("bp/", "", std::move(done)); }),
              ReadStatus::failed);
}
