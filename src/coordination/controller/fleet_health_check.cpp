#include "coordination/controller/fleet_health_check.h"

#include <spdlog/spdlog.h>

namespace burlpoint::coordination {

FleetHealthCheck::FleetHealthCheck(FailureDetector& detector, MachineRegistry& registry,
                                   AttemptCompletion& completion, DirectCommands& directCommands,
                                   std::vector<Action>& actions)
    : detector_(detector),
      registry_(registry),
      completion_(completion),
      directCommands_(directCommands),
      actions_(actions) {}

void FleetHealthCheck::tick(Time now) {
    detector_.recordTick(now);
    if (!detector_.isEvaluationDue(now)) return;
    registry_.removeEntriesWithoutMachine();
    const auto summary = detector_.summarizeHealth(now);
    expireLeases(summary, now);
    const auto findings = detector_.evaluate(summary, now);
    for (auto* machine : findings.toProbe) directCommands_.probe(*machine);
    for (auto* machine : findings.failedMachines) {
        spdlog::info("machine failed: no heartbeats and no probe responses machine={}", machine->id);
        machine->cloud.deletionRequested = true;
    }
    resignIfIsolated(findings.isolation);
}

void FleetHealthCheck::resignIfIsolated(Isolation isolation) {
    switch (isolation) {
        case Isolation::none:
            return;
        case Isolation::lostWorkers:
            actions_.emplace_back(Resign{ResignationReason::workersLost});
            return;
        case Isolation::neverReached:
            actions_.emplace_back(Resign{ResignationReason::workersNeverReached});
            return;
    }
}

void FleetHealthCheck::expireLeases(const FailureDetector::HealthSummary& summary, Time now) {
    for (auto* machine : summary.expired) {
        spdlog::info("worker lease expired machine={}", machine->id);
        completion_.endAll(*machine, now);
        machine->lease.active = false;
    }
}

}  // namespace burlpoint::coordination
