#include "coordination/workers/machine_tombstones.h"

#include <algorithm>
#include <limits>

namespace burlpoint::coordination {

using bookkeeping::HeartbeatVersion;
using bookkeeping::Machine;

namespace {

/// A version that is not older than any heartbeat.
constexpr HeartbeatVersion kDeleted{std::numeric_limits<std::uint64_t>::max(),
                                    std::numeric_limits<std::uint64_t>::max()};

}  // namespace

void MachineTombstones::add(const Machine& machine) {
    auto& newestVersion = newestVersions_[machine.id];
    newestVersion = std::max(newestVersion, machine.agent.latestVersion());
}

void MachineTombstones::addDeleted(const std::string& id) { newestVersions_[id] = kDeleted; }

bool MachineTombstones::isDeleted(const std::string& id) const {
    const auto found = newestVersions_.find(id);
    return found != newestVersions_.end() && found->second == kDeleted;
}

bool MachineTombstones::isStale(const protocol::Heartbeat& heartbeat) const {
    const auto found = newestVersions_.find(heartbeat.machine);
    return found != newestVersions_.end() && bookkeeping::heartbeatVersionOf(heartbeat) <= found->second;
}

void MachineTombstones::restoreCounters(Machine& machine) const {
    const auto found = newestVersions_.find(machine.id);
    if (found == newestVersions_.end()) return;
    machine.agent.incarnation = found->second.incarnation;
    machine.agent.sequence = found->second.sequence;
}

}  // namespace burlpoint::coordination
