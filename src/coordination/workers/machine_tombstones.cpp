#include "coordination/workers/machine_tombstones.h"

#include <algorithm>
#include <limits>

namespace burlpoint::coordination {

using bookkeeping::HeartbeatVersion;
using bookkeeping::Machine;

namespace {

/// Not older than any heartbeat.
constexpr HeartbeatVersion kDeleted{std::numeric_limits<std::uint64_t>::max(),
                                    std::numeric_limits<std::uint64_t>::max()};

}  // namespace

void MachineTombstones::add(const Machine& machine) {
    auto& newest = newest_[machine.id];
    newest = std::max(newest, machine.agent.latestVersion());
}

void MachineTombstones::addDeleted(const std::string& id) { newest_[id] = kDeleted; }

bool MachineTombstones::isDeleted(const std::string& id) const {
    const auto found = newest_.find(id);
    return found != newest_.end() && found->second == kDeleted;
}

bool MachineTombstones::isLateCopy(const protocol::Heartbeat& heartbeat) const {
    const auto found = newest_.find(heartbeat.machine);
    return found != newest_.end() && bookkeeping::heartbeatVersionOf(heartbeat) <= found->second;
}

void MachineTombstones::restoreCounters(Machine& machine) const {
    const auto found = newest_.find(machine.id);
    if (found == newest_.end()) return;
    machine.agent.incarnation = found->second.incarnation;
    machine.agent.sequence = found->second.sequence;
}

}  // namespace burlpoint::coordination
