#include "coordination/removed_machines.h"

#include <algorithm>
#include <limits>

namespace burlpoint::coordination {

using bookkeeping::Machine;
using bookkeeping::MessageOrder;

namespace {

/// Newer than any message.
constexpr MessageOrder kDeleted{std::numeric_limits<std::uint64_t>::max(),
                                std::numeric_limits<std::uint64_t>::max()};

}  // namespace

void RemovedMachines::note(const Machine& machine) {
    auto& newest = newest_[machine.id];
    newest = std::max(newest, machine.newestMessage());
}

void RemovedMachines::noteDeleted(const std::string& id) { newest_[id] = kDeleted; }

bool RemovedMachines::isDeleted(const std::string& id) const {
    const auto found = newest_.find(id);
    return found != newest_.end() && found->second == kDeleted;
}

bool RemovedMachines::isLateCopy(const protocol::Report& report) const {
    const auto found = newest_.find(report.machine);
    return found != newest_.end() && bookkeeping::orderOf(report) <= found->second;
}

void RemovedMachines::restoreCounters(Machine& machine) const {
    const auto found = newest_.find(machine.id);
    if (found == newest_.end()) return;
    machine.session = found->second.session;
    machine.sequence = found->second.sequence;
}

}  // namespace burlpoint::coordination
