#include "coordination/state/state_writer.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "protocol/msgpack_codec.h"
#include "storage/records.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using bookkeeping::Job;
using coordination::MachineRegistry;
using coordination::StateWriter;
using coordination::StateWritten;
using coordination::WriteState;
using storage::TerminalState;
using storage::TransactionStatus;
using FollowUp = StateWriter::FollowUp;

namespace {

constexpr std::uint64_t kTokenVersion = 5;
constexpr std::uint64_t kStartMs = 1'000'000;  // wall-clock time at the start of a test

struct StateWriterTest : testing::Test {
    StateWriterTest() {
        settings.maxTransactionWrites = 4;
        settings.storeWritesPerSecond = 1000;
        replica.tokenVersion = kTokenVersion;
    }

    protocol::Settings settings;
    bookkeeping::StateReplica replica;
    bookkeeping::Fleet fleet;
    MachineRegistry registry{replica, fleet};
    std::map<std::string, protocol::MachineType> types;
    Time now{1000s};
    WallClock wallClock{now, kStartMs};
    std::optional<StateWriter> lazyWriter;
    std::uint64_t revision = 100;

    /// Creates the writer on first use, so that a test can change the settings before.
    StateWriter& writer() {
        if (!lazyWriter) lazyWriter.emplace(settings, replica, fleet, registry, types, wallClock, now);
        return *lazyWriter;
    }
    /// Adds an open job with a run and with `chunkTasks` tasks per chunk.
    Job& accept(const std::string& id, std::uint32_t tasks, std::uint32_t chunkTasks = 1000) {
        storage::JobRecord record;
        record.spec.id = id;
        record.spec.jobClass = std::string("c");
        record.spec.image = std::string("i");
        record.spec.team = std::string("t");
        record.spec.cpus = 1;
        record.spec.tasks = tasks;
        record.chunkTasks = chunkTasks;
        const auto body = storage::encodeJob(record);
        const auto packed = protocol::unpackBody(body);
        std::vector<bookkeeping::ReplicaChange> changes;
        EXPECT_TRUE(replica.apply({storage::keys::job(id), &packed.get(), ++revision}, changes));
        auto& job = *replica.find(id);
        job.beginRun(bookkeeping::JobOrigin::accepted, now);
        return job;
    }
    void setFinished(Job& job, std::uint32_t task) {
        ASSERT_TRUE(job.setFinished(task));
        writer().markUnstored(job);
    }
    /// `incarnation`: 0 for a machine that has not sent a heartbeat.
    void addMachine(const std::string& id, std::uint64_t incarnation) {
        auto& machine = fleet.add(id, now);
        machine.address = id;
        machine.agent.incarnation = incarnation;
        registry.scheduleAddition(id);
    }
    StateWriter::WriteOutcome handleResult(TransactionStatus status, std::vector<std::string> failed = {}) {
        StateWritten written;
        written.result.status = status;
        written.result.failed = std::move(failed);
        if (status == TransactionStatus::applied) written.result.revision = ++revision;
        return writer().handle(written, now);
    }
    /// Advances the time past the pause between transactions, and returns the keys of the next transaction;
    /// empty if there is none.
    std::vector<std::string> nextKeys() {
        now += 200ms;
        std::vector<std::string> keys;
        if (const auto write = writer().nextWrite(now))
            for (const auto& each : write->writes) keys.push_back(each.key);
        return keys;
    }
};

using Keys = std::vector<std::string>;

}  // namespace

TEST_F(StateWriterTest, EachWriteIsConditionalOnTheTokenAndOnItsKeyVersion) {
    auto& job = accept("wk-1", 2);
    setFinished(job, 0);
    setFinished(job, 1);
    const auto write = writer().nextWrite(now);
    ASSERT_TRUE(write);
    ASSERT_EQ(write->writes.size(), 1u);
    ASSERT_EQ(write->conditions.size(), 2u);
    EXPECT_EQ(write->conditions[0].key, storage::keys::kToken);
    EXPECT_EQ(write->conditions[0].version, kTokenVersion);
    EXPECT_EQ(write->conditions[1].key, storage::keys::job("wk-1"));
    EXPECT_EQ(write->conditions[1].version, job.version);
}

TEST_F(StateWriterTest, TerminalRecordStoredThenJobIsDone) {
    auto& job = accept("wk-1", 2);
    setFinished(job, 0);
    setFinished(job, 1);
    now += 5s;
    ASSERT_TRUE(writer().nextWrite(now));
    EXPECT_EQ(job.terminalState, TerminalState::none);
    EXPECT_FALSE(writer().nextWrite(now + 10s)) << "only one transaction may be in flight";
    const auto outcome = handleResult(TransactionStatus::applied);
    EXPECT_EQ(outcome.followUp, FollowUp::none);
    EXPECT_EQ(outcome.ended, std::vector<Job*>{&job});
    EXPECT_EQ(job.terminalState, TerminalState::done);
    EXPECT_EQ(job.endedMs, kStartMs + 5000);
    EXPECT_EQ(nextKeys(), Keys{});
}

TEST_F(StateWriterTest, BitmapStoredThenTasksAreDoneAndTheNextWaitsASecond) {
    auto& job = accept("wk-1", 10);
    setFinished(job, 3);
    ASSERT_EQ(nextKeys(), Keys{storage::keys::bitmapChunk("wk-1", 0)});
    EXPECT_FALSE(job.isDone(3));
    EXPECT_TRUE(handleResult(TransactionStatus::applied).ended.empty());
    EXPECT_TRUE(job.isDone(3));
    setFinished(job, 4);
    EXPECT_EQ(nextKeys(), Keys{});
    now += 1s;
    EXPECT_EQ(nextKeys(), Keys{storage::keys::bitmapChunk("wk-1", 0)});
}

TEST_F(StateWriterTest, FencingTokenRaisedThenResign) {
    setFinished(accept("wk-1", 1), 0);
    ASSERT_TRUE(writer().nextWrite(now));
    EXPECT_EQ(handleResult(TransactionStatus::conflict, {storage::keys::kToken}).followUp, FollowUp::resign);
}

// After a conflict or an unknown outcome, only a read can determine the stored state.
TEST_F(StateWriterTest, ConflictOrUnknownOutcomeThenNoWriteBeforeTheReplicaIsRead) {
    setFinished(accept("wk-1", 1), 0);
    const auto key = storage::keys::job("wk-1");
    for (const auto status :
         {TransactionStatus::conflict, TransactionStatus::unknown, TransactionStatus::leaseExpired}) {
        ASSERT_EQ(nextKeys(), Keys{key});
        EXPECT_EQ(handleResult(status, {key}).followUp, FollowUp::refreshReplica);
        now += 10s;
        EXPECT_EQ(nextKeys(), Keys{});
        writer().resumeAfterRefresh();
    }
    EXPECT_EQ(nextKeys(), Keys{key});
}

TEST_F(StateWriterTest, TransactionRefusedThenSentAgainAfterAPause) {
    setFinished(accept("wk-1", 1), 0);
    for (const auto status : {TransactionStatus::unavailable, TransactionStatus::rateLimited}) {
        ASSERT_EQ(nextKeys().size(), 1u);
        EXPECT_EQ(handleResult(status).followUp, FollowUp::none);
        EXPECT_EQ(nextKeys(), Keys{});  // 200 ms later
        now += 300ms;
    }
    EXPECT_EQ(nextKeys().size(), 1u);
}

TEST_F(StateWriterTest, TransactionTooLargeThenLimitsShrinkAndGrowAgain) {
    for (const auto* id : {"m1", "m2", "m3", "m4", "m5"}) addMachine(id, 1);
    ASSERT_EQ(nextKeys().size(), 4u);
    handleResult(TransactionStatus::tooLarge);
    EXPECT_EQ(nextKeys().size(), 2u);
    handleResult(TransactionStatus::tooLarge);
    EXPECT_EQ(nextKeys().size(), 1u);
    handleResult(TransactionStatus::applied);
    EXPECT_EQ(nextKeys().size(), 1u) << "limits must not be raised immediately";
    now += 30s;
    handleResult(TransactionStatus::applied);
    EXPECT_EQ(nextKeys().size(), 2u);
}

TEST_F(StateWriterTest, SingleWriteTooLargeThenDeferredWhileOthersAreWritten) {
    addMachine("m1", 1);
    ASSERT_EQ(nextKeys(), Keys{storage::keys::machine("m1")});
    handleResult(TransactionStatus::tooLarge);
    addMachine("m2", 1);
    EXPECT_EQ(nextKeys(), Keys{storage::keys::machine("m2")});
    handleResult(TransactionStatus::applied);
    EXPECT_EQ(nextKeys(), Keys{});
    now += 30s;
    EXPECT_EQ(nextKeys(), Keys{storage::keys::machine("m1")});
}

TEST_F(StateWriterTest, SingleBitmapTooLargeThenCutIntoSmallerRanges) {
    auto& job = accept("wk-1", 2000, 2000);
    setFinished(job, 0);
    ASSERT_EQ(nextKeys(), Keys{storage::keys::bitmapChunk("wk-1", 0)});
    handleResult(TransactionStatus::tooLarge);
    const auto keys = nextKeys();
    ASSERT_EQ(keys.size(), 1u);
    EXPECT_NE(keys.front(), storage::keys::bitmapChunk("wk-1", 0));
    handleResult(TransactionStatus::applied);
    EXPECT_TRUE(job.isDone(0));
}

TEST_F(StateWriterTest, EntriesOfMachinesWithoutHeartbeatAreWrittenLast) {
    addMachine("m0", 0);
    addMachine("m1", 1);
    setFinished(accept("wk-1", 1), 0);
    setFinished(accept("wk-2", 10), 0);
    types["cpu"].name = std::string("cpu");
    writer().markTypesUnstored();
    EXPECT_EQ(nextKeys(), (Keys{storage::keys::machine("m1"), storage::keys::job("wk-1"),
                                storage::keys::kTypes, storage::keys::bitmapChunk("wk-2", 0)}));
    handleResult(TransactionStatus::applied);
    EXPECT_EQ(replica.types.size(), 1u);
    EXPECT_EQ(nextKeys(), Keys{storage::keys::machine("m0")});
}

TEST_F(StateWriterTest, WriteRateUsedUpThenFewerWrites) {
    settings.storeWritesPerSecond = 5;  // the state writer may use 60 %, three per second
    for (const auto* id : {"m1", "m2", "m3", "m4", "m5"}) addMachine(id, 1);
    ASSERT_EQ(nextKeys().size(), 3u);
    handleResult(TransactionStatus::applied);
    EXPECT_EQ(nextKeys(), Keys{});
    now += 800ms;
    EXPECT_EQ(nextKeys().size(), 2u);
}

TEST_F(StateWriterTest, JobForgottenThenItsWritesAreDiscarded) {
    auto& job = accept("wk-1", 1);
    setFinished(job, 0);
    writer().discardWrites(job);
    EXPECT_EQ(nextKeys(), Keys{});
}
