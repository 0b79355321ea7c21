#include "coordination/controller/direct_commands.h"

#include <algorithm>

#include "coordination/workers/worker_commands.h"

namespace burlpoint::coordination {

using bookkeeping::Machine;

DirectCommands::DirectCommands(bookkeeping::Fleet& fleet, TaskTerminator& terminator,
                               std::vector<Action>& actions)
    : fleet_(fleet), terminator_(terminator), actions_(actions) {}

void DirectCommands::probe(Machine& machine) {
    if (machine.agent.probing || machine.address.empty()) return;
    machine.agent.probing = true;
    send(machine);
}

void DirectCommands::sendUrgentStops() {
    for (const auto& id : terminator_.takeMachinesWithNewStops()) {
        const auto* machine = fleet_.find(id);
        if (!machine || !machine->agent.acknowledged || machine->address.empty()) continue;
        const bool stopsAny = std::any_of(machine->placements.begin(), machine->placements.end(),
                                          [](const auto& entry) { return entry.second.stopping; });
        if (stopsAny) send(*machine);
    }
}

void DirectCommands::send(const Machine& machine) {
    actions_.push_back(SendCommands{machine.id, machine.address, machine.agent.incarnation,
                                    stopCommands(machine), machine.agent.latestVersion()});
}

}  // namespace burlpoint::coordination
