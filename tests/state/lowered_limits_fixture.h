#pragma once

// A leader over the stand-in of the key-value store (`Cluster`), and the jobs and bitmaps that the tests of
// storage under lowered limits use. No network: the store's answers come at once, and the test sets the time.

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

inline constexpr std::uint32_t kOldChunk = 16'384;  // tasks, as chosen for values of 8 KiB

inline protocol::JobSpec arrayOf(const std::string& id, std::uint32_t tasks) {
    protocol::JobSpec s;
    s.id = id;
    s.jobClass = s.image = std::string("c");
    s.team = std::string("t");
    s.tasks = tasks;
    s.cpus = 1;
    return s;
}

/// A record of 3 KiB, which one limit allows and the next does not.
inline protocol::JobSpec withLongTexts(const std::string& id) {
    auto s = arrayOf(id, 2);
    s.types.emplace();
    for (int i = 0; i < 16; ++i) s.types->push_back(std::string(180, static_cast<char>('a' + i)));
    return s;
}

/// A leader over the stand-in of the key-value store, whose answers come at once. One machine, m1, is there.
struct Cluster {
    protocol::Settings settings;
    protocol::Policy policy;
    Store store;
    bookkeeping::StateReplica replica;
    std::unique_ptr<coordination::Leader> leader;
    std::size_t read = 0;
    std::uint64_t sequence = 0, fencingToken = 5;
    Time now{1000s};
    double changes = 1e9;  // that the store takes each second
    bool resigned = false;

    Cluster() {
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
        readLog();
    }
    /// From now on the store takes no more than this.
    void lower(std::size_t ops, std::size_t maxValueBytes, double perSecond) {
        store.limits = {ops, maxValueBytes, perSecond};
        changes = perSecond;
    }
    static void apply(const Store& store, std::size_t& from, bookkeeping::StateReplica& replica,
                      std::vector<bookkeeping::Change>& changed) {
        for (; from < store.log.size(); ++from) {
            const auto& event = store.log[from];
            msgpack::object_handle handle;
            if (event.data) handle = protocol::unpackBody(*event.data);
            EXPECT_TRUE(
                replica.apply({event.key, event.data ? &handle.get() : nullptr, event.version}, changed));
        }
    }
    /// Brings the replica up to the store, and tells the leader of jobs that have changed.
    void readLog() {
        std::vector<bookkeeping::Change> changed;
        apply(store, read, replica, changed);
        coordination::JobsChanged jobs;
        for (const auto& change : changed)
            if (change.kind == bookkeeping::ChangeKind::job) jobs.ids.push_back(change.id);
        if (leader && !jobs.ids.empty()) tell(jobs);
    }
    void lead() {
        readLog();
        leader = std::make_unique<coordination::Leader>(settings, policy, replica, fencingToken, now, 0);
    }
    /// Gives the leader an event, and carries out the actions that it decides.
    void tell(coordination::LeaderEvent event) {
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
                tell(coordination::StateWritten{result});
            } else if (std::holds_alternative<coordination::RefreshReplica>(action)) {
                readLog();
                tell(coordination::ReplicaRefreshed{coordination::RefreshOutcome::refreshed});
            } else if (std::holds_alternative<coordination::Resign>(action)) {
                resigned = true;
            }
        }
    }
    /// A heartbeat of m1 that tells of these tasks as done.
    void heartbeat(const std::string& id, const std::vector<std::uint32_t>& tasks) {
        protocol::Heartbeat r{"m1", "m1", "plain", "z", false, 1, ++sequence, fencingToken, {}, {}};
        for (const auto t : tasks)
            r.tasks.push_back({{id, t, 1}, protocol::TaskState::exited, protocol::ExitReason::done, false});
        tell(coordination::HeartbeatReceived{sequence, std::move(r)});
    }
    void run(int seconds) {
        for (int step = 0; step < seconds * 10; ++step) {
            if (step % 10 == 0) store.limits.changes = changes;
            now += 100ms;
            if (step % 2 == 0) readLog();
            tell(coordination::Tick{});
        }
    }
    /// The bitmap of the job as a controller that starts now reads it.
    std::vector<bool> stored(const std::string& id) const {
        bookkeeping::StateReplica fresh;
        std::vector<bookkeeping::Change> changed;
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

/// The tasks from `from` on, each `nth` of them.
inline std::vector<std::uint32_t> every(std::uint32_t nth, std::uint32_t from, std::uint32_t tasks) {
    std::vector<std::uint32_t> out;
    for (auto t = from; t < tasks; t += nth) out.push_back(t);
    return out;
}

/// A bitmap of `all` tasks in which these are done.
inline std::vector<bool> bitsOf(const std::vector<std::uint32_t>& tasks, std::uint32_t all) {
    std::vector<bool> bits(all);
    for (const auto t : tasks) bits[t] = true;
    return bits;
}

/// Whether `large` has all the bits of `small`.
inline bool contains(const std::vector<bool>& large, const std::vector<bool>& small) {
    for (std::size_t i = 0; i < small.size(); ++i)
        if (small[i] && !large[i]) return false;
    return true;
}

/// The limits that the settings announce, where a test lets them.
inline const protocol::StoreLimits kNext{28, 2, 10};

}  // namespace burlpoint::tests
