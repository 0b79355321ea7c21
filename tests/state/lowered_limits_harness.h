#pragma once

// Harness for tests of storage under lowered limits: a leader with an in-memory key-value store
// (`LoweredLimitsHarness`), and helpers for jobs and bitmaps. There is no network: the store answers
// synchronously, and the test controls the time.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "coordination/controller/leader.h"
#include "protocol/msgpack_codec.h"
#include "storage/store_stub.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;

inline constexpr std::uint32_t kChunkTasksFor8KiB = 16'384;  // tasks per chunk for a value limit of 8 KiB

inline protocol::JobSpec arrayJob(const std::string& id, std::uint32_t tasks) {
    protocol::JobSpec s;
    s.id = id;
    s.jobClass = s.image = std::string("c");
    s.team = std::string("t");
    s.tasks = tasks;
    s.cpus = 1;
    return s;
}

/// A job with a record of 3 KiB, which is within the initial value limit of 8 KiB but exceeds the
/// announced one of 2 KiB.
inline protocol::JobSpec jobWithLongRecord(const std::string& id) {
    auto s = arrayJob(id, 2);
    s.types.emplace();
    for (int i = 0; i < 16; ++i) s.types->push_back(std::string(180, static_cast<char>('a' + i)));
    return s;
}

/// A leader with an in-memory key-value store that answers synchronously. There is one machine, m1.
struct LoweredLimitsHarness {
    protocol::Settings settings;
    protocol::Policy policy;
    Store store;
    bookkeeping::StateReplica replica;
    std::unique_ptr<coordination::Leader> leader;
    std::size_t eventsRead = 0;
    std::uint64_t sequence = 0, fencingToken = 5;
    Time now{1000s};
    double writesPerSecond = 1e9;  // the store's rate limit
    bool resigned = false;

    LoweredLimitsHarness() {
        settings.name = "one";
        settings.zones = {"z"};
        settings.teams = {{"t", 0, 0, 0, 0}};
        settings.workerLease = Seconds(600);
        settings.maxValueKb = 8;
        settings.maxTransactionWrites = 32;
        settings.storeWritesPerSecond = 40;
        put(storage::keys::kToken, storage::encodeToken(fencingToken));
        put(storage::keys::kTypes,
            protocol::encodeMachineTypes({{"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"z"}}}));
        put(storage::keys::machine("m1"), storage::encodeMachine({"m1", "plain", "z", false}));
    }
    void put(const std::string& key, const std::string& value) {
        std::vector<std::string> failed;
        store.transact({}, {{key, value, 0}}, failed);
    }
    /// Stores the record of a job, as if a user had submitted it.
    void accept(const protocol::JobSpec& spec, std::uint32_t chunkTasks) {
        put(storage::keys::job(spec.id),
            storage::encodeJob({spec, storage::TerminalState::none, 1, 0, chunkTasks}));
        syncReplica();
    }
    /// Changes the store's limits: writes per transaction, bytes per value, and writes per second.
    void lowerLimits(std::size_t ops, std::size_t maxValueBytes, double perSecond) {
        store.limits = {ops, maxValueBytes, perSecond};
        writesPerSecond = perSecond;
    }
    static void apply(const Store& store, std::size_t& from, bookkeeping::StateReplica& replica,
                      std::vector<bookkeeping::ReplicaChange>& changed) {
        for (; from < store.log.size(); ++from) {
            const auto& event = store.log[from];
            msgpack::object_handle handle;
            if (event.data) handle = protocol::unpackBody(*event.data);
            EXPECT_TRUE(
                replica.apply({event.key, event.data ? &handle.get() : nullptr, event.version}, changed));
        }
    }
    /// Brings the replica up to date with the store, and notifies the leader of changed jobs.
    void syncReplica() {
        std::vector<bookkeeping::ReplicaChange> changed;
        apply(store, eventsRead, replica, changed);
        coordination::JobsChanged jobs;
        for (const auto& change : changed)
            if (change.kind == bookkeeping::ReplicaChangeKind::job) jobs.ids.push_back(change.id);
        if (leader && !jobs.ids.empty()) deliver(jobs);
    }
    void startLeader() {
        syncReplica();
        leader = std::make_unique<coordination::Leader>(settings, policy, replica, fencingToken, now, 0);
    }
    /// Passes an event to the leader, and executes the resulting actions.
    void deliver(coordination::LeaderEvent event) {
        for (auto& action : leader->handle(std::move(event), now)) {
            if (const auto* write = std::get_if<coordination::WriteState>(&action)) {
                storage::TransactionResult result;
                if (const auto refusal = store.refusal(write->conditions, write->writes)) {
                    result.status = *refusal;
                } else {
                    result.revision = store.transact(write->conditions, write->writes, result.failed);
                    result.status = result.revision ? storage::TransactionStatus::applied
                                                    : storage::TransactionStatus::conflict;
                }
                deliver(coordination::StateWritten{result});
            } else if (std::holds_alternative<coordination::RefreshReplica>(action)) {
                syncReplica();
                deliver(coordination::ReplicaRefreshed{coordination::RefreshOutcome::refreshed});
            } else if (std::holds_alternative<coordination::Resign>(action)) {
                resigned = true;
            }
        }
    }
    /// Sends a heartbeat of m1 that reports these tasks as done.
    void heartbeat(const std::string& id, const std::vector<std::uint32_t>& tasks) {
        protocol::Heartbeat r{"m1", "m1", "plain", "z", false, 1, ++sequence, fencingToken, {}, {}};
        for (const auto t : tasks)
            r.tasks.push_back({{id, t, 1}, protocol::TaskState::exited, protocol::ExitReason::done, false});
        deliver(coordination::HeartbeatReceived{sequence, std::move(r)});
    }
    void run(int seconds) {
        for (int step = 0; step < seconds * 10; ++step) {
            if (step % 10 == 0) store.limits.changes = writesPerSecond;
            now += 100ms;
            if (step % 2 == 0) syncReplica();
            deliver(coordination::Tick{});
        }
    }
    /// The job's bitmap as a newly started controller reads it.
    std::vector<bool> storedBitmap(const std::string& id) const {
        bookkeeping::StateReplica fresh;
        std::vector<bookkeeping::ReplicaChange> changed;
        for (const auto& [key, value] : store.values) {
            const auto handle = protocol::unpackBody(value.data);
            EXPECT_TRUE(fresh.apply({key, &handle.get(), value.version}, changed));
        }
        const auto* job = fresh.find(id);
        std::vector<bool> bits(job->spec.tasks);
        for (std::uint32_t t = 0; t < job->spec.tasks; ++t) bits[t] = job->isDone(t);
        return bits;
    }
    storage::TerminalState terminalStateOf(const std::string& id) const {
        return storage::decodeJob(protocol::unpackBody(store.values.at(storage::keys::job(id)).data).get())
            .terminalState;
    }
};

/// Every `nth` task, from `from` up to `tasks`.
inline std::vector<std::uint32_t> everyNth(std::uint32_t nth, std::uint32_t from, std::uint32_t tasks) {
    std::vector<std::uint32_t> out;
    for (auto t = from; t < tasks; t += nth) out.push_back(t);
    return out;
}

/// A bitmap for `all` tasks in which these tasks are done.
inline std::vector<bool> bitmapOf(const std::vector<std::uint32_t>& tasks, std::uint32_t all) {
    std::vector<bool> bits(all);
    for (const auto t : tasks) bits[t] = true;
    return bits;
}

/// True if all bits of `small` are set in `large`.
inline bool contains(const std::vector<bool>& large, const std::vector<bool>& small) {
    for (std::size_t i = 0; i < small.size(); ++i)
        if (small[i] && !large[i]) return false;
    return true;
}

/// The lower limits that the settings announce in some of the tests.
inline const protocol::StoreLimits kAnnouncedLimits{28, 2, 10};

}  // namespace burlpoint::tests
