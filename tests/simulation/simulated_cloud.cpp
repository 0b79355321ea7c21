#include "simulation/simulated_cloud.h"

namespace burlpoint::simulation {

using namespace std::chrono_literals;
using coordination::ScaleInOutcome;

namespace {

constexpr auto kRequestTimeout = 6s;  // after this the leader gets a response with an unknown outcome

}  // namespace

const std::vector<std::string>& SimulatedCloud::fulfil(const protocol::InstanceRequest& request) {
    auto& machines = machinesOfRequests_[request.name];
    if (!machines.empty()) return machines;
    for (std::uint32_t i = 0; i < request.count && workers_.aliveCount() < workers_.maxMachines; ++i)
        machines.push_back(workers_.create(request.type, request.zone, request.spot));
    return machines;
}

void SimulatedCloud::scaleOut(const coordination::ScaleOut& action, const Requester& leader) {
    auto& random = environment_.random;
    coordination::ScaleOutCompleted answer;
    answer.name = action.request.name;
    if (random.chance(environment_.faults.lateExecutionProbability)) {
        environment_.events.schedule(random.delay(0, 20),
                                     [this, request = action.request] { fulfil(request); });
        return leader.respond(kRequestTimeout, answer);
    }
    answer.machines = fulfil(action.request);
    answer.outcome = answer.machines.empty() ? coordination::InstanceRequestOutcome::rejected
                                             : coordination::InstanceRequestOutcome::fulfilled;
    leader.respond(random.delay(0.1, 0.4), answer);
}

void SimulatedCloud::scaleIn(const coordination::ScaleIn& action, const Requester& leader) {
    auto& random = environment_.random;
    const auto remove = [this, machines = action.machines] {
        for (const auto& id : machines) workers_.remove(id);
    };
    if (random.chance(environment_.faults.lateExecutionProbability)) {
        environment_.events.schedule(random.delay(0, 20), remove);
        return leader.respond(kRequestTimeout,
                              coordination::ScaleInCompleted{action.machines, ScaleInOutcome::unknown});
    }
    environment_.events.schedule(random.delay(0.05, 0.2), [remove, leader, machines = action.machines] {
        remove();
        leader.respond(50ms, coordination::ScaleInCompleted{machines, ScaleInOutcome::deleted});
    });
}

void SimulatedCloud::listMachines(const Requester& leader) {
    auto& random = environment_.random;
    coordination::MachinesListed listed;
    listed.requestedAt = environment_.now();
    listed.complete = !random.chance(environment_.faults.messageLossProbability);
    for (const auto& [id, worker] : workers_.all()) {
        if (worker.dead || environment_.now() < worker.bootAt) continue;
        listed.machines.push_back(
            {id, id, worker.type, worker.zone, worker.spot, protocol::MachineState::running, Seconds(1)});
    }
    leader.respond(random.delay(0.1, 4), std::move(listed));
}

void SimulatedCloud::listTypes(const Requester& leader) {
    leader.respond(200ms, coordination::TypesListed{environment_.machineTypes});
}

}  // namespace burlpoint::simulation
