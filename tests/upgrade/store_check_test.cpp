// Tests of `StoreCheck`: each invariant of the stored data is violated once and has to be reported.
#include "upgrade/store_check.h"

#include <gtest/gtest.h>

#include "storage/records.h"
#include "storage/store_stub.h"
#include "upgrade/check_fixture.h"

using namespace burlpoint::tests;
using burlpoint::storage::TerminalState;
namespace storage = burlpoint::storage;

namespace {

class StoreCheckTest : public testing::Test {
  protected:
    StoreCheckTest() { oracle.jobs[kJob].spec = makeSmallJob(kJob); }

    void write(const std::string& key, std::optional<std::string> value) {
        std::vector<std::string> failed;
        ASSERT_GT(store.transact({}, {{key, std::move(value)}}, failed), 0u);
        check.step();
    }
    void writeRecord(TerminalState terminalState, const std::string& id = kJob) {
        storage::JobRecord record;
        record.spec = makeSmallJob(id);
        record.terminalState = terminalState;
        record.chunkTasks = 4;
        write(storage::keys::job(id), storage::encodeJob(record));
    }
    void writeBitmap(const std::vector<bool>& bits) {
        write(storage::keys::bitmapChunk(kJob, 0), storage::encodeBits(bits, 0, bits.size()));
    }
    void complete(std::initializer_list<std::uint32_t> tasks) { oracle.job(kJob).completed = tasks; }

    TestOracle oracle;
    Store store;
    StoreCheck check{oracle, store};
};

}  // namespace

TEST_F(StoreCheckTest, JobThatRunsToItsEndBreaksNoRule) {
    write(storage::keys::kToken, storage::encodeToken(1));
    write(storage::keys::kLeader, storage::encodeLeader({"one", 1}));
    writeRecord(TerminalState::none);
    complete({0});
    writeBitmap({true, false});
    complete({0, 1});
    writeRecord(TerminalState::done);
    write(storage::keys::bitmapChunk(kJob, 0), std::nullopt);
    write(storage::keys::kToken, storage::encodeToken(2));
    EXPECT_EQ(oracle.violations, std::vector<std::string>());
    EXPECT_EQ(check.leaderTerms(), 1u);
    EXPECT_TRUE(check.isDone(kJob));
}

TEST_F(StoreCheckTest, LowerTokenIsReported) {
    write(storage::keys::kToken, storage::encodeToken(2));
    write(storage::keys::kToken, storage::encodeToken(1));
    EXPECT_EQ(firstViolation(oracle), "the fencing token went from 2 to 1");
}

TEST_F(StoreCheckTest, TokenUsedByTwoLeadersIsReported) {
    write(storage::keys::kLeader, storage::encodeLeader({"one", 1}));
    write(storage::keys::kLeader, storage::encodeLeader({"two", 1}));
    EXPECT_EQ(firstViolation(oracle), "fencing token 1 of two was used before");
}

TEST_F(StoreCheckTest, ChangedTerminalStateIsReported) {
    writeRecord(TerminalState::cancelled);
    writeRecord(TerminalState::none);
    EXPECT_EQ(firstViolation(oracle), std::string("the stored terminal state of ") + kJob + " has changed");
}

TEST_F(StoreCheckTest, DeletedRecordIsReported) {
    writeRecord(TerminalState::none);
    write(storage::keys::job(kJob), std::nullopt);
    EXPECT_EQ(firstViolation(oracle), std::string("the record of ") + kJob + " was deleted");
}

TEST_F(StoreCheckTest, RecordOfAnUnsubmittedJobIsReported) {
    writeRecord(TerminalState::none, kDependent);
    EXPECT_EQ(firstViolation(oracle),
              std::string("a record of ") + kDependent + ", which was never submitted");
}

TEST_F(StoreCheckTest, DoneRecordBeforeTheLastTaskBreaksNotDone) {
    complete({0});
    writeRecord(TerminalState::done);
    EXPECT_EQ(firstViolation(oracle),
              std::string("not_done: ") + kJob + " is stored as done with incomplete tasks");
}

TEST_F(StoreCheckTest, BitOfAnIncompleteTaskBreaksNotDone) {
    writeRecord(TerminalState::none);
    writeBitmap({true, false});
    EXPECT_EQ(firstViolation(oracle),
              std::string("not_done: a bit is set for the incomplete task ") + kJob + "/0");
}

TEST_F(StoreCheckTest, ClearedBitIsReported) {
    writeRecord(TerminalState::none);
    complete({0});
    writeBitmap({true, false});
    writeBitmap({false, false});
    EXPECT_EQ(firstViolation(oracle), std::string("the bit of ") + kJob + "/0 was cleared");
}

TEST_F(StoreCheckTest, BitmapDeletedBeforeATerminalStateIsReported) {
    writeRecord(TerminalState::none);
    writeBitmap({false, false});
    write(storage::keys::bitmapChunk(kJob, 0), std::nullopt);
    EXPECT_EQ(firstViolation(oracle),
              std::string("the bitmap of ") + kJob + " was deleted before a terminal state");
}
