#include "bookkeeping/state_replica.h"

#include <utility>

#include "protocol/errors.h"

namespace burlpoint::bookkeeping {

namespace keys = storage::keys;
using storage::TerminalState;

bool StateReplica::apply(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes) {
    const std::string& key = change.key;
    try {
        if (key == keys::kLeader)
            applyLeader(change, changes);
        else if (key == keys::kToken)
            applyToken(change);
        else if (key == keys::kTypes)
            applyTypes(change, changes);
        else if (key.starts_with(keys::kMachinePrefix))
            applyMachine(change, changes);
        else if (key.starts_with(keys::kJobPrefix))
            applyJobKey(change, changes);
    } catch (const protocol::MalformedMessage&) {
        return false;
    }
    return true;
}

void StateReplica::applyLeader(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes) {
    if (change.version <= leaderVersion) return;
    leader = change.value ? std::optional(storage::decodeLeader(*change.value)) : std::nullopt;
    leaderVersion = change.version;
    changes.push_back({ReplicaChangeKind::leader, ""});
}

void StateReplica::applyToken(const protocol::KeyChange& change) {
    if (!change.value || change.version <= tokenVersion) return;
    fencingToken = storage::decodeToken(*change.value);
    tokenVersion = change.version;
}

void StateReplica::applyTypes(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes) {
    if (!change.value || change.version <= typesVersion) return;
    types = protocol::decodeMachineTypes(*change.value);
    typesVersion = change.version;
    changes.push_back({ReplicaChangeKind::types, ""});
}

void StateReplica::applyMachine(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes) {
    const auto id = change.key.substr(sizeof keys::kMachinePrefix - 1);
    if (isOutdated(id, change)) return;
    if (change.value)
        registeredMachines[id] = {storage::decodeMachine(*change.value), change.version};
    else
        registeredMachines.erase(id);
    changes.push_back({ReplicaChangeKind::machine, id});
}

/// True if the change is not newer than the known entry. One revision may both write and delete a key; the
/// deletion is then the later of the two.
bool StateReplica::isOutdated(const std::string& machine, const protocol::KeyChange& change) const {
    const auto known = registeredMachines.find(machine);
    if (known == registeredMachines.end()) return false;
    const auto version = known->second.version;
    return change.value ? change.version <= version : change.version < version;
}

/// Applies a change of a job's record or of a value of its bitmap. Deletions are ignored: records are never
/// deleted, and values of the bitmap only after the job has ended.
void StateReplica::applyJobKey(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes) {
    if (!change.value) return;
    const auto rest = change.key.substr(sizeof keys::kJobPrefix - 1);
    const auto slash = rest.find('/');
    const auto id = rest.substr(0, slash);
    if (slash == std::string::npos) {
        applyJob(id, *change.value, change.version, changes);
    } else {
        auto* job = find(id);
        const auto rangeText = std::string_view(rest).substr(slash + 1);
        if (!job || !applyBits(*job, rangeText, *change.value, change.version)) return;
    }
    changes.push_back({ReplicaChangeKind::job, id});
}

void StateReplica::applyJob(const std::string& id, const msgpack::object& value, std::uint64_t version,
                            std::vector<ReplicaChange>& changes) {
    auto* job = find(id);
    if (job && job->version >= version) return;
    auto record = storage::decodeJob(value);
    if (record.spec.id != id) throw protocol::MalformedMessage("job id in the record differs from its key");
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

/// Adds a new open job, or terminates it at once if its cancellation is already known.
void StateReplica::addOpenJob(Job& job, std::vector<ReplicaChange>& changes) {
    jobs_.markOpen(job);
    if (const auto early = earlyCancellations_.find(job.spec.id); early != earlyCancellations_.end())
        terminate(job, TerminalState::cancelled, 0, early->second, changes);
    else
        dependencies_.add(job, changes);
}

/// Terminates a job. `version` is that of its record in the terminal state, which this controller has read or
/// knows to be stored.
void StateReplica::terminate(Job& job, TerminalState terminalState, std::uint32_t doneCount,
                             std::uint64_t version, std::vector<ReplicaChange>& changes) {
    const auto before = job.terminalState;
    const bool cancelledByUser = before == TerminalState::cancelled && !job.cancelledByDependency;
    if (terminalState == TerminalState::cancelled && !cancelledByUser) cancelled_.push_back(&job);
    job.cancelledByDependency = false;
    earlyCancellations_.erase(job.spec.id);
    job.version = version;
    jobs_.terminate(job, terminalState, doneCount);
    if (before == TerminalState::none) dependencies_.handleTerminated(job, changes);
}

/// Applies a value of the job's bitmap. False if the job has ended, the key denotes no range of its bitmap,
/// or the value is not newer than the known one.
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

void StateReplica::dropUnread(const std::set<std::string>& read, std::vector<ReplicaChange>& changes) {
    if (leader && !read.contains(keys::kLeader)) {
        leader.reset();
        changes.push_back({ReplicaChangeKind::leader, ""});
    }
    for (auto it = registeredMachines.begin(); it != registeredMachines.end();) {
        if (read.contains(keys::machine(it->first))) {
            ++it;
            continue;
        }
        changes.push_back({ReplicaChangeKind::machine, it->first});
        it = registeredMachines.erase(it);
    }
}

void StateReplica::applyCompletion(Job& job, std::uint64_t version, std::uint64_t endedMs,
                                   std::vector<ReplicaChange>& changes) {
    if (job.terminalState != TerminalState::none) return;
    job.endedMs = endedMs;
    terminate(job, TerminalState::done, job.spec.tasks, version, changes);
}

void StateReplica::applyCancellation(const std::string& id, std::uint64_t version,
                                     std::vector<ReplicaChange>& changes) {
    auto* job = find(id);
    if (!job) {
        // The job's record will be read later, perhaps in the version before the cancellation.
        earlyCancellations_[id] = version;
        return;
    }
    if (job->terminalState != TerminalState::none) return;
    terminate(*job, TerminalState::cancelled, job->doneCount, version, changes);
    changes.push_back({ReplicaChangeKind::job, id});
}

}  // namespace burlpoint::bookkeeping
