#include "simulation/environment.h"

namespace burlpoint::simulation {

namespace {

std::string taskName(const std::string& job, std::uint32_t task) { return job + "/" + std::to_string(task); }

}  // namespace

void JobGroundTruth::markCompleted(const std::string& job, std::uint32_t task) {
    completedTasks.insert(taskName(job, task));
}

bool JobGroundTruth::isCompleted(const std::string& job, std::uint32_t task) const {
    return completedTasks.contains(taskName(job, task));
}

bool JobGroundTruth::allTasksCompleted(const std::string& job) const {
    for (std::uint32_t task = 0; task < specs.at(job).tasks; ++task)
        if (!isCompleted(job, task)) return false;
    return true;
}

Environment::Environment(std::uint64_t seed, const Faults& initialFaults)
    : faults(initialFaults), random(seed) {
    settings.name = "leader";
    settings.zones = {"a", "b"};
    settings.teams = {{"small", 0, 12, 0, 0}, {"large", 8, 0, 0, 0}, {"third", 4, 30, 0, 2}};
    settings.heartbeatInterval = Seconds(2);
    settings.workerLease = Seconds(12);
    settings.gangWaitTimeout = Seconds(20);
    settings.gangPeerTimeout = Seconds(4);
    settings.cancelTimeout = Seconds(45);
    settings.maxTransactionWrites = 6;
    settings.storeWritesPerSecond = 40;
    settings.cloudRequestsPerSecond = 5;
    settings.cloudListLag = Seconds(4);
    machineTypes = {{"cpu", 8, 0, 32, 10, 0.5, 1.0, 0.3, Seconds(4), {"a", "b"}},
                    {"gpu", 8, 2, 32, 10, 0.5, 3.0, 1.0, Seconds(6), {"a", "b"}}};
}

}  // namespace burlpoint::simulation
