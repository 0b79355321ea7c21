// Submissions where the key-value store takes less than the settings say, or less from some moment on, and
// how the client tells its refusals apart.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "leadership/service_controller.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::MessagePacker;

namespace {

using StoreLimits = ServiceControllerTest;

}  // namespace

// A job whose record is beyond the lower of the present and the next limit is refused before anything is
// stored, unless it was accepted under the higher one. Bitmap chunks are chosen for the lower limit.
TEST_F(StoreLimits, SubmissionBeyondTheNextLimitsIsRefused) {
    ServiceController node(io, stub);
    node.config.nextStoreLimits = protocol::StoreLimits{28, 2, 10};
    node.until([&] { return node.watcher.synced(); });
    const auto longTexts = [](const std::string& id) {
        protocol::JobSpec spec;
        spec.id = id;
        spec.jobClass = spec.image = "x";
        spec.team = "team";
        spec.cpus = 1;
        spec.types = std::vector<std::string>(14, std::string(180, 'h'));
        spec.types->push_back("m");
        return spec;
    };
    const auto packed = [](const protocol::JobSpec& spec) {
        MessagePacker p;
        protocol::packSpec(p, spec);
        return p.take();
    };
    EXPECT_EQ(node.ask("POST", "/submissions", packed(longTexts("wk-1"))).status, 422);
    EXPECT_FALSE(stub.store.values.contains(storage::keys::job("wk-1")));
    std::vector<std::string> failed;
    const auto spec = longTexts("wk-2");
    stub.store.transact(
        {},
        {{storage::keys::job("wk-2"), storage::encodeJob({spec, storage::TerminalState::none, 0, 0, 4}), 0}},
        failed);
    EXPECT_EQ(node.ask("POST", "/submissions", packed(spec)).status, 200);
    EXPECT_EQ(node.ask("POST", "/submissions", submission("wk-3")).status, 201);
    const auto handle = protocol::unpackBody(stub.store.values.at(storage::keys::job("wk-3")).data);
    EXPECT_EQ(storage::decodeJob(handle.get()).chunkTasks, storage::chunkTasks(2));
    // Accepted under the higher limit, it is cancelled under the lower one.
    stub.store.limits.maxValueBytes = 2048;
    EXPECT_EQ(node.ask("POST", "/submissions/wk-2/cancel").status, 200);
    EXPECT_EQ(node.bearing("wk-2"), "cancelled");
}

// The store takes less than the settings say: no accepted job is lost, and none is accepted that was not
// stored.
TEST_F(StoreLimits, UnannouncedLowerLimitLosesNoAcceptedJob) {
    ServiceController node(io, stub);
    node.until([&] { return node.watcher.synced(); });
    auto spec = protocol::JobSpec{};
    spec.id = "wk-1";
    spec.jobClass = spec.image = "x";
    spec.team = "team";
    spec.types = std::vector<std::string>{std::string(150, 'h'), "m"};
    MessagePacker p;
    protocol::packSpec(p, spec);
    EXPECT_EQ(node.ask("POST", "/submissions", p.take()).status, 201);
    stub.store.limits.maxValueBytes = 500;
    const auto again = [&](const std::string& id) {
        auto other = spec;
        other.id = id;
        MessagePacker q;
        protocol::packSpec(q, other);
        return node.ask("POST", "/submissions", q.take()).status;
    };
    EXPECT_EQ(again("wk-2"), 422);
    EXPECT_EQ(again("wk-1"), 200);
    EXPECT_EQ(node.bearing("wk-2"), "404");
    EXPECT_EQ(node.ask("POST", "/submissions/wk-1/cancel").status, 200);
    EXPECT_EQ(node.bearing("wk-1"), "cancelled");
}

// A write refused for the rate limit is tried again a few times, then the user is asked to come back later.
// Then it is stored.
TEST_F(StoreLimits, RateLimitedSubmissionIsRetriedBeforeItIsRefused) {
    ServiceController node(io, stub);
    node.until([&] { return node.watcher.synced(); });
    stub.store.limits.changes = 0;
    const auto refused = node.ask("POST", "/submissions", submission("wk-1"));
    EXPECT_EQ(refused.status, 503);
    EXPECT_GE(refused.retryAfter, 1s);
    EXPECT_GT(stub.store.tooMany, 1u);
    EXPECT_LT(stub.store.tooMany, 5u);  // it slows down
    EXPECT_EQ(node.bearing("wk-1"), "404");
    stub.store.limits.changes = 5;
    EXPECT_EQ(node.ask("POST", "/submissions", submission("wk-1")).status, 201);
}

// Each reason for which the store refuses a transaction has a status of its own, and two are logged once.
TEST_F(StoreLimits, EachRefusalOfATransactionHasItsOwnStatus) {
    ServiceController node(io, stub);
    std::ostringstream log;
    const auto before = spdlog::default_logger();
    const auto listening =
        std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::ostream_sink_mt>(log));
    spdlog::set_default_logger(listening);
    const auto count = [&](const std::string& text) {
        std::size_t found = 0;
        for (auto at = log.str().find(text); at != std::string::npos; at = log.str().find(text, at + 1))
            ++found;
        return found;
    };
    const auto status = [&](const protocol::KeyWrite& write) {
        std::optional<storage::TransactionStatus> out;
        node.state.transact({}, {write}, 1s,
                            [&](const storage::TransactionResult& result) { out = result.status; });
        node.until([&] { return out.has_value(); });
        return *out;
    };
    const auto value = MessagePacker().value("0123456789").take();
    stub.store.limits = {32, 12, 1};
    EXPECT_EQ(status({"bp/x", value, 99}), storage::TransactionStatus::noLease);
    EXPECT_EQ(status({"bp/x", MessagePacker().value("0123456789a").take(), 0}),
              storage::TransactionStatus::tooLarge);
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TransactionStatus::applied);
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TransactionStatus::tooMany);
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TransactionStatus::tooMany);
    EXPECT_EQ(status({"bp/x", MessagePacker().value("0123456789b").take(), 0}),
              storage::TransactionStatus::tooLarge);
    stub.outage = true;
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TransactionStatus::refused);
    // The first of each is logged, once.
    EXPECT_EQ(count("[error] key-value store refuses a transaction for its size writes=1 bytes="), 1u);
    EXPECT_EQ(count("too large"), 1u);
    EXPECT_EQ(count("[info] key-value store refuses writes over its rate limit"), 1u);
    spdlog::set_default_logger(before);
}
