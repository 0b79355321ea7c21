#pragma once

// One leader with hand-made reports, for tests of what it decides.

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/leader.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using namespace coordination;
using protocol::Kind;
using protocol::Op;
using protocol::TaskReport;
using protocol::TaskState;

/// One leader with hand-made reports. Machines are rostered and heard unless a test says otherwise.
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
        settings.report = protocol::Seconds(2);
        settings.lease = protocol::Seconds(20);
        replica.types = {{"plain", 8, 0, 32, 50, 1, 1, 0.3, protocol::Seconds(10), {"z", "y"}},
                         {"gpu", 16, 2, 64, 50, 1, 8, 3, protocol::Seconds(30), {"z", "y"}}};
        replica.token = 5;
        replica.tokenVersion = 5;
    }
    void roster(const std::string& id, const std::string& type = "plain", const std::string& zone = "z") {
        replica.roster[id] = {{id, type, zone, false}, ++revision};
    }
    void lead() { leader = std::make_unique<Leader>(settings, policy, replica, 5, now, 0); }

    void job(protocol::JobSpec spec) {
        const auto value = storage::encodeJob({spec, storage::Final::open, 0, 0, storage::chunkTasks(8)});
        const auto handle = protocol::unpackBody(value);
        std::vector<bookkeeping::Change> changes;
        replica.apply({storage::keys::job(spec.id), &handle.get(), ++revision}, changes);
        if (leader) tell(JobsChanged{{spec.id}});
    }
    std::vector<Action> tell(Command command) { return leader->handle(std::move(command), now); }
    std::vector<Action> tick(Clock::duration step = 200ms) {
        now += step;
        return tell(Tick{});
    }
    protocol::Report message(const std::string& id, std::vector<TaskReport> tasks, std::uint64_t token) {
        const auto& machine = replica.roster.at(id).record;
        return {id, id, machine.type, machine.zone, false, 1, ++sequences[id], token, {}, std::move(tasks)};
    }
    /// The starts in the response to a report, as "job/task".
    std::vector<std::string> report(const std::string& id, std::vector<TaskReport> tasks = {},
                                    std::uint64_t token = 5) {
        now += 200ms;
        std::vector<std::string> starts;
        for (const auto& action : tell(ReportArrived{1, message(id, std::move(tasks), token)}))
            if (const auto* answer = std::get_if<AnswerReport>(&action))
                for (const auto& order : answer->orders)
                    if (order.op == Op::start) {
                        starts.push_back(order.attempt.job + "/" + std::to_string(order.attempt.task));
                        last[starts.back()] = order.attempt;
                    }
        return starts;
    }
    TaskReport task(const std::string& name, TaskState state) const {
        return {last.at(name), state, protocol::ExitReason::none, false};
    }
    std::map<std::string, protocol::Attempt> last;
};

inline protocol::JobSpec make(const std::string& id, std::uint32_t tasks, double cpus,
                              Kind kind = Kind::array) {
    protocol::JobSpec s;
    s.id = id;
    s.jobClass = s.image = "c";
    s.team = "t";
    s.tasks = tasks;
    s.cpus = cpus;
    s.kind = kind;
    s.estimate = protocol::Seconds(30);
    if (kind == Kind::service) s.priority = protocol::Priority::production;
    return s;
}

using Names = std::vector<std::string>;

}  // namespace burlpoint::tests
