#pragma once

// Test harness for the decisions of a single leader, driven by heartbeats that the test composes.

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/controller/leader.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using namespace coordination;
using protocol::CommandKind;
using protocol::JobKind;
using protocol::TaskState;
using protocol::TaskStatus;

/// A leader without I/O, with the replica, settings and clock that it uses.
struct LeaderHarness {
    protocol::Settings settings;
    protocol::Policy policy;
    bookkeeping::StateReplica replica;
    Time now{1000s};
    std::unique_ptr<Leader> leader;
    std::map<std::string, std::uint64_t> sequences;
    std::uint64_t revision = 10;

    LeaderHarness() {
        settings.name = "one";
        settings.zones = {"z", "y"};
        settings.teams = {{"t", 0, 0, 0, 0}, {"limited", 0, 8, 0, 0}};
        settings.heartbeatInterval = Seconds(2);
        settings.workerLease = Seconds(20);
        replica.types = {{"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"z", "y"}},
                         {"gpu", 16, 2, 64, 50, 1, 8, 3, Seconds(30), {"z", "y"}}};
        replica.fencingToken = 5;
        replica.tokenVersion = 5;
    }
    void registerMachine(const std::string& id, const std::string& type = "plain",
                         const std::string& zone = "z") {
        replica.registeredMachines[id] = {{id, type, zone, false}, ++revision};
    }
    void startLeader() { leader = std::make_unique<Leader>(settings, policy, replica, 5, now, 0); }

    void submitJob(const protocol::JobSpec& spec) { storeJob(spec, storage::TerminalState::none); }
    void cancelJob(const std::string& id) {
        storeJob(replica.find(id)->spec, storage::TerminalState::cancelled);
    }
    /// Stores the job's record, and tells the leader.
    void storeJob(const protocol::JobSpec& spec, storage::TerminalState state) {
        const auto value = storage::encodeJob({spec, state, 0, 0, storage::chunkTasks(8)});
        const auto handle = protocol::unpackBody(value);
        std::vector<bookkeeping::ReplicaChange> changes;
        replica.apply({storage::keys::job(spec.id), &handle.get(), ++revision}, changes);
        if (leader) deliver(JobsChanged{{spec.id}});
    }
    std::vector<Action> deliver(LeaderEvent event) { return leader->handle(std::move(event), now); }
    std::vector<Action> tick(Clock::duration step = 200ms) {
        now += step;
        return deliver(Tick{});
    }
    protocol::Heartbeat makeHeartbeat(const std::string& id, std::vector<TaskStatus> tasks,
                                      std::uint64_t fencingToken) {
        const auto& machine = replica.registeredMachines.at(id).record;
        return {id,           id, machine.type,    machine.zone, false, 1, ++sequences[id],
                fencingToken, {}, std::move(tasks)};
    }
    /// Advances the clock by 200 ms and sends a heartbeat of the machine. Returns the tasks started by the
    /// response, as "job/task".
    std::vector<std::string> heartbeat(const std::string& id, std::vector<TaskStatus> tasks = {},
                                       std::uint64_t fencingToken = 5) {
        now += 200ms;
        std::vector<std::string> starts;
        for (const auto& action :
             deliver(HeartbeatReceived{1, makeHeartbeat(id, std::move(tasks), fencingToken)}))
            if (const auto* answer = std::get_if<AnswerHeartbeat>(&action))
                for (const auto& command : answer->commands)
                    if (command.kind == CommandKind::start) {
                        starts.push_back(command.attempt.job + "/" + std::to_string(command.attempt.task));
                        lastAttempts[starts.back()] = command.attempt;
                    }
        return starts;
    }
    TaskStatus taskStatus(const std::string& name, TaskState state) const {
        return {lastAttempts.at(name), state, protocol::ExitReason::none, false};
    }
    std::map<std::string, protocol::Attempt> lastAttempts;
};

inline protocol::JobSpec makeJob(const std::string& id, std::uint32_t tasks, double cpus,
                                 JobKind kind = JobKind::array) {
    protocol::JobSpec s;
    s.id = id;
    s.jobClass = s.image = "c";
    s.team = "t";
    s.tasks = tasks;
    s.cpus = cpus;
    s.kind = kind;
    s.estimatedRunTime = Seconds(30);
    if (kind == JobKind::service) s.priority = protocol::Priority::production;
    return s;
}

using Names = std::vector<std::string>;

}  // namespace burlpoint::tests
