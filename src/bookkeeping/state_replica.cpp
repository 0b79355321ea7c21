#include "bookkeeping/state_replica.h"

#include <utility>

#include "protocol/errors.h"

namespace burlpoint::bookkeeping {

namespace keys = storage::keys;
using storage::TerminalState;

bool StateReplica::apply(const protocol::KeyChange& change, std::vector<Change>& changes) {
    const std::string& key = change.key;
    try {
        if (key == keys::kLeader)
            applyLeader(change, changes);
        else if (key == keys::kToken)
            applyToken(change);
        else if (key == keys::kTypes)
            applyTypes(change, changes);
        else if (key.starts_with(keys::kMachines))
            applyMachine(change, changes);
        else if (key.starts_with(keys::kJobs))
            applyJobKey(change, changes);
    } catch (const protocol::MalformedMessage&) {
        return false;
    }
    return true;
}

void StateReplica::applyLeader(const protocol::KeyChange& change, std::vector<Change>& changes) {
    if (change.version <= leaderVersion) return;
    leader = change.value ? std::optional(storage::decodeLeader(*change.value)) : std::nullopt;
    leaderVersion = change.version;
    changes.push_back({ChangeKind::leader, ""});
}

void StateReplica::applyToken(const protocol::KeyChange& change) {
    if (!change.value || change.version <= tokenVersion) return;
    fencingToken = storage::decodeToken(*change.value);
    tokenVersion = change.version;
}

void StateReplica::applyTypes(const protocol::KeyChange& change, std::vector<Change>& changes) {
    if (!change.value || change.version <= typesVersion) return;
    types = protocol::decodeMachineTypes(*change.value);
    typesVersion = change.version;
    changes.push_back({ChangeKind::types, ""});
}

void StateReplica::applyMachine(const protocol::KeyChange& change, std::vector<Change>& changes) {
    const auto id = change.key.substr(sizeof keys::kMachines - 1);
    if (isOutdated(id, change)) return;
    if (change.value)
        registeredMachines[id] = {storage::decodeMachine(*change.value), change.version};
    else
        registeredMachines.erase(id);
    changes.push_back({ChangeKind::machine, id});
}

/// A transaction may write and delete a key at one revision; the deletion is the later of the two.
bool StateReplica::isOutdated(const std::string& machine, const protocol::KeyChange& change) const {
    const auto known = registeredMachines.find(machine);
    if (known == registeredMachines.end()) return false;
    const auto version = known->second.version;
    return change.value ? change.version <= version : change.version < version;
}

/// A job's record or a value of its bitmap. Records are never deleted, and bits only after the job has ended.
void StateReplica::applyJobKey(const protocol::KeyChange& change, std::vector<Change>& changes) {
    if (!change.value) return;
    const auto rest = change.key.substr(sizeof keys::kJobs - 1);
    const auto slash = rest.find('/');
    const auto id = rest.substr(0, slash);
    if (slash == std::string::npos) {
        applyJob(id, *change.value, change.version, changes);
    } else {
        auto* job = find(id);
        const auto rangeText = std::string_view(rest).substr(slash + 1);
        if (!job || !applyBits(*job, rangeText, *change.value, change.version)) return;
    }
    changes.push_back({ChangeKind::job, id});
}

void StateReplica::applyJob(const std::string& id, const msgpack::object& value, std::uint64_t version,
                            std::vector<Change>& changes) {
    auto* job = find(id);
    if (job && job->version >= version) return;
    auto record = storage::decodeJob(value);
    if (record.spec.id != id) throw protocol::MalformedMessage("a job under another's key");
    const bool isNew = !job;
    if (isNew) job = &jobs_.add(std::move(record.spec), version);
    job->acceptedMs = record.acceptedMs;
    job->chunkTasks = record.chunkTasks;
    job->endedMs = record.endedMs;
    if (record.terminalState != TerminalState::none)
        return terminate(*job, record.terminalState, record.done, version, changes);
    job->version = version;
    if (isNew) addOpenJob(*job, changes);
}

/// A new job, which may have been cancelled after its record was written.
void StateReplica::addOpenJob(Job& job, std::vector<Change>& changes) {
    jobs_.markOpen(job);
    if (const auto ahead = cancelledAhead_.find(job.spec.id); ahead != cancelledAhead_.end())
        terminate(job, TerminalState::cancelled, 0, ahead->second, changes);
    else
        dependencies_.add(job, changes);
}

/// The job's record says so, or will say so once it is read.
void StateReplica::terminate(Job& job, TerminalState terminalState, std::uint32_t doneCount,
                             std::uint64_t version, std::vector<Change>& changes) {
    const auto before = job.terminalState;
    const bool cancelledByUser = before == TerminalState::cancelled && !job.cancelledByDependency;
    if (terminalState == TerminalState::cancelled && !cancelledByUser) cancelled_.push_back(&job);
    job.cancelledByDependency = false;
    cancelledAhead_.erase(job.spec.id);
    job.version = version;
    jobs_.terminate(job, terminalState, doneCount);
    if (before == TerminalState::none) dependencies_.noteTerminated(job, changes);
}

/// False: the key is none of the job's bitmap, or its value is not new.
bool StateReplica::applyBits(Job& job, std::string_view rangeText, const msgpack::object& value,
                             std::uint64_t version) {
    if (job.terminalState != TerminalState::none) return false;
    const auto range = job.parseRange(rangeText);
    if (!range || version <= job.bitmapVersions.of(*range)) return false;
    std::vector<bool> bits(job.spec.tasks);
    storage::decodeBits(value, bits, range->first, range->end - range->first);
    for (auto task = range->first; task < range->end; ++task)
        if (bits[task]) job.setDone(static_cast<std::uint32_t>(task));
    job.bitmapVersions.raise(*range, version);
    return true;
}

void StateReplica::dropUnread(const std::set<std::string>& read, std::vector<Change>& changes) {
    if (leader && !read.contains(keys::kLeader)) {
        leader.reset();
        changes.push_back({ChangeKind::leader, ""});
    }
    for (auto it = registeredMachines.begin(); it != registeredMachines.end();) {
        if (read.contains(keys::machine(it->first))) {
            ++it;
            continue;
        }
        changes.push_back({ChangeKind::machine, it->first});
        it = registeredMachines.erase(it);
    }
}

void StateReplica::noteDone(Job& job, std::uint64_t version, std::uint64_t endedMs,
                            std::vector<Change>& changes) {
    if (job.terminalState != TerminalState::none) return;
    job.endedMs = endedMs;
    terminate(job, TerminalState::done, job.spec.tasks, version, changes);
}

void StateReplica::noteCancelled(const std::string& id, std::uint64_t version, std::vector<Change>& changes) {
    auto* job = find(id);
    if (!job) {
        // Its record will be read later, perhaps as it was before the cancellation.
        cancelledAhead_[id] = version;
        return;
    }
    if (job->terminalState != TerminalState::none) return;
    terminate(*job, TerminalState::cancelled, job->doneCount, version, changes);
    changes.push_back({ChangeKind::job, id});
}

}  // namespace burlpoint::bookkeeping
