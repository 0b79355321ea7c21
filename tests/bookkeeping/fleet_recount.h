#pragma once

// Compares the indexes and running sums of the fleet with values recomputed from the placements on its
// machines.

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"

namespace burlpoint::tests {

inline bool differs(const bookkeeping::Resources& a, const bookkeeping::Resources& b) {
    constexpr double kTolerance = 1e-6;
    return std::abs(a.cpus - b.cpus) + std::abs(a.gpus - b.gpus) + std::abs(a.memoryGb - b.memoryGb) >
           kTolerance;
}

/// Describes where a machine's running sums and its entries in the image index differ from a recount. Empty
/// if there is no difference.
inline std::string recountMachine(const bookkeeping::Fleet& fleet, const bookkeeping::Machine& machine) {
    bookkeeping::Machine expected;
    for (const auto& [key, placement] : machine.placements) {
        const auto& spec = placement.job->spec;
        const auto need = bookkeeping::needOf(spec);
        const auto priority = static_cast<std::size_t>(placement.job->priority());
        const bool service = spec.kind == protocol::JobKind::service;
        expected.use.total += need;
        if (spec.gpus <= 0)
            expected.use.withoutAccelerators[service ? bookkeeping::kReplicaUse : priority] += need;
        if (!service && !bookkeeping::isMultiTaskGang(spec)) expected.use.preemptible[priority] += need;
    }
    std::string differences;
    if (differs(expected.use.total, machine.use.total)) differences += "use of " + machine.id + "; ";
    for (std::size_t i = 0; i < machine.use.withoutAccelerators.size(); ++i)
        if (differs(expected.use.withoutAccelerators[i], machine.use.withoutAccelerators[i]))
            differences += "plain use of " + machine.id + "; ";
    for (std::size_t i = 0; i < machine.use.preemptible.size(); ++i)
        if (differs(expected.use.preemptible[i], machine.use.preemptible[i]))
            differences += "preemptible use of " + machine.id + "; ";
    for (const auto& [image, gb] : machine.images) {
        const auto& with = fleet.machinesWithImage(image);
        if (std::count(with.begin(), with.end(), &machine) != 1)
            differences += "image on " + machine.id + "; ";
    }
    return differences;
}

/// Describes where the indexes and running sums of the fleet and of the jobs' runs differ from a recount.
/// Empty if there is no difference.
inline std::string recount(const bookkeeping::Fleet& fleet, const bookkeeping::StateReplica& replica) {
    using bookkeeping::Job;
    std::string differences;
    std::map<std::string, bookkeeping::Resources> teams;
    std::map<const Job*, std::map<std::string, std::uint32_t>> machines;
    std::map<const Job*, std::map<std::string, std::uint32_t>> zones;
    std::map<bookkeeping::Offering, std::uint32_t> unreconciled;
    for (const auto& [id, machine] : fleet.machines()) {
        for (const auto& [key, placement] : machine->placements) {
            teams[placement.job->spec.team] += bookkeeping::needOf(placement.job->spec);
            ++machines[placement.job][id];
            ++zones[placement.job][machine->zone];
        }
        differences += recountMachine(fleet, *machine);
        if (machine->registry.state == bookkeeping::RegistrationState::stored &&
            !machine->registry.reconciled)
            ++unreconciled[{machine->type, machine->zone, machine->spot}];
    }
    for (const auto& [team, use] : teams)
        if (differs(use, fleet.teamUse(team))) differences += "use of team " + team + "; ";
    if (unreconciled != fleet.unreconciled()) differences += "unreconciled machines; ";
    for (const auto& [id, job] : replica.jobs()) {
        const bool agrees =
            !job->run || (job->run->machines == machines[job.get()] && job->run->zones == zones[job.get()]);
        if (!agrees) differences += "machines of " + id + "; ";
    }
    return differences;
}

}  // namespace burlpoint::tests
