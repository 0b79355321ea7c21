#include "bookkeeping/state_replica.h"

#include <algorithm>
#include <charconv>

#include "base/clock.h"
#include "protocol/errors.h"

namespace burlpoint::bookkeeping {

namespace keys = storage::keys;

namespace {

std::uint64_t milliseconds(Seconds time) {
    constexpr double kPerSecond = 1000;
    return static_cast<std::uint64_t>(time.count() * kPerSecond);
}

/// When the job is due by its own deadline, if it has one.
std::optional<std::uint64_t> ownDueMs(const Job& job) {
    if (!job.spec.deadline) return std::nullopt;
    return job.acceptedMs + milliseconds(*job.spec.deadline);
}

}  // namespace

Job* StateReplica::find(const std::string& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

std::vector<Job*> StateReplica::openJobs() const {
    std::vector<Job*> out(open_.begin(), open_.end());
    std::sort(out.begin(), out.end(), [](const Job* a, const Job* b) { return a->accepted < b->accepted; });
    return out;
}

bool StateReplica::NewestFirst::operator()(const Job* a, const Job* b) const {
    return a->accepted != b->accepted ? a->accepted > b->accepted : a->spec.id > b->spec.id;
}

void StateReplica::applyJob(const std::string& id, const msgpack::object& value, std::uint64_t version,
                            std::vector<Change>& changes) {
    auto* known = find(id);
    if (known && known->version >= version) return;
    auto record = storage::decodeJob(value);
    if (record.spec.id != id) throw protocol::MalformedMessage("a job under another's key");
    const bool fresh = !known;
    if (fresh) {
        auto job = std::make_unique<Job>();
        job->spec = std::move(record.spec);
        job->accepted = version;
        known = job.get();
        jobs_.emplace(id, std::move(job));
    }
    known->acceptedMs = record.acceptedMs;
    known->chunkTasks = record.chunkTasks;
    known->endedMs = record.endedMs;
    if (record.terminalState != TerminalState::none)
        return close(*known, record.terminalState, record.done, version, changes);
    known->version = version;
    if (!fresh) return;
    open_.insert(known);
    if (const auto ahead = cancelledAhead_.find(id); ahead != cancelledAhead_.end())
        return close(*known, TerminalState::cancelled, 0, ahead->second, changes);
    enter(*known, changes);
}

/// An open job that was not known: what it waits for, and whether it is cancelled with one of these.
void StateReplica::enter(Job& job, std::vector<Change>& changes) {
    job.readyMs = job.acceptedMs;
    job.effectivePriority = job.spec.priority;
    job.dueAtMs = ownDueMs(job);
    bool cancelled = false;
    for (const auto& id : job.spec.dependencies) {
        const auto* needed = find(id);
        if (needed && needed->terminalState == TerminalState::done) {
            job.readyMs = std::max(job.readyMs, needed->endedMs);
            continue;
        }
        ++job.openDependencies;
        if (needed && needed->terminalState == TerminalState::cancelled)
            cancelled = true;
        else
            dependents_[id].push_back(&job);
    }
    if (!job.spec.dependencies.empty() || dependents_.contains(job.spec.id)) stalePriorities_.insert(&job);
    if (!cancelled) return;
    end(job, TerminalState::cancelled, 0);
    job.cancelledByDependency = true;
    cancelDependents(job, changes);
}

/// What the job's record says, or will say once it is read.
void StateReplica::close(Job& job, TerminalState terminalState, std::uint32_t done, std::uint64_t version,
                         std::vector<Change>& changes) {
    const auto before = job.terminalState;
    if (terminalState == TerminalState::cancelled &&
        (before != TerminalState::cancelled || job.cancelledByDependency))
        cancelled_.push_back(&job);
    job.cancelledByDependency = false;
    cancelledAhead_.erase(job.spec.id);
    job.version = version;
    end(job, terminalState, done);
    if (before != TerminalState::none) return;
    if (terminalState == TerminalState::done)
        freeDependents(job, changes);
    else
        cancelDependents(job, changes);
}

void StateReplica::end(Job& job, TerminalState terminalState, std::uint32_t done) {
    job.terminalState = terminalState;
    job.doneCount = done;
    job.done = {};
    job.chunkVersions = {};
    job.partVersions = {};
    open_.erase(&job);
    stalePriorities_.erase(&job);
    if (job.run) {
        job.run->waiting = 0;
        job.run->unpersistedTasks.clear();
    }
}

/// All that need the job, directly or through others, are cancelled with it. Nothing of this is stored: it
/// follows from the one record, so that no node can see half of it.
void StateReplica::cancelDependents(Job& job, std::vector<Change>& changes) {
    std::vector<Job*> ended{&job};
    while (!ended.empty()) {
        auto& next = *ended.back();
        ended.pop_back();
        staleDependencies(next);
        const auto found = dependents_.find(next.spec.id);
        if (found == dependents_.end()) continue;
        const auto dependents = std::move(found->second);
        dependents_.erase(found);
        for (auto* dependent : dependents) {
            if (dependent->terminalState != TerminalState::none) continue;
            end(*dependent, TerminalState::cancelled, 0);
            dependent->cancelledByDependency = true;
            changes.push_back({ChangeKind::job, dependent->spec.id});
            ended.push_back(dependent);
        }
    }
}

void StateReplica::freeDependents(const Job& job, std::vector<Change>& changes) {
    const auto found = dependents_.find(job.spec.id);
    if (found == dependents_.end()) return;
    for (auto* dependent : found->second) {
        if (dependent->terminalState != TerminalState::none) continue;
        dependent->readyMs = std::max(dependent->readyMs, job.endedMs);
        if (--dependent->openDependencies == 0) changes.push_back({ChangeKind::job, dependent->spec.id});
    }
    dependents_.erase(found);
}

/// What the job needs is no longer, or not yet, needed by it.
void StateReplica::staleDependencies(const Job& job) {
    for (const auto& id : job.spec.dependencies)
        if (auto* needed = find(id); needed && needed->terminalState == TerminalState::none)
            stalePriorities_.insert(needed);
}

void StateReplica::updateEffectivePriorities() {
    while (!stalePriorities_.empty()) {
        auto& job = **stalePriorities_.begin();
        stalePriorities_.erase(stalePriorities_.begin());
        if (job.terminalState == TerminalState::none) updateEffectivePriorityOf(job);
    }
}

void StateReplica::updateEffectivePriorityOf(Job& job) {
    static const std::vector<Job*> kNone;
    const auto found = dependents_.find(job.spec.id);
    const auto& dependents = found == dependents_.end() ? kNone : found->second;
    auto urgency = job.spec.priority;
    for (const auto* dependent : dependents)
        if (dependent->terminalState == TerminalState::none)
            urgency = std::max(urgency, dependent->effectivePriority);
    const auto due = dueFor(job, dependents);
    if (urgency == job.effectivePriority && due == job.dueAtMs && job.priorityPropagated) return;
    job.effectivePriority = urgency;
    job.dueAtMs = due;
    job.priorityPropagated = true;
    staleDependencies(job);
}

/// When the job is due so that its own deadline can be met and those of its dependents, less the time that
/// these take after it.
std::optional<std::uint64_t> StateReplica::dueFor(const Job& job, const std::vector<Job*>& dependents) {
    auto due = ownDueMs(job);
    for (const auto* dependent : dependents) {
        if (dependent->terminalState != TerminalState::none || !dependent->dueAtMs) continue;
        const auto work = std::min(milliseconds(dependent->spec.estimatedRunTime), *dependent->dueAtMs);
        due = std::min(due.value_or(*dependent->dueAtMs), *dependent->dueAtMs - work);
    }
    return due;
}

void StateReplica::noteDone(Job& job, std::uint64_t version, std::uint64_t endedMs,
                            std::vector<Change>& changes) {
    if (job.terminalState != TerminalState::none) return;
    job.endedMs = endedMs;
    close(job, TerminalState::done, job.spec.tasks, version, changes);
}

void StateReplica::noteCancelled(const std::string& id, std::uint64_t version, std::vector<Change>& changes) {
    auto* job = find(id);
    if (!job) {
        // Its record will be read later, perhaps as it stood before the cancellation.
        cancelledAhead_[id] = version;
        return;
    }
    if (job->terminalState != TerminalState::none) return;
    close(*job, TerminalState::cancelled, job->doneCount, version, changes);
    changes.push_back({ChangeKind::job, id});
}

/// What a bitmap's key covers: its last part is a chunk's number, or the range of a part as "first-end".
std::optional<BitRange> StateReplica::parseRange(const Job& job, std::string_view key) {
    const char* end = key.data() + key.size();
    std::size_t first = 0;
    const auto [stop, error] = std::from_chars(key.data(), end, first);
    if (error != std::errc()) return std::nullopt;
    if (stop == end) {
        const auto chunk = first;
        if (chunk >= job.chunks()) return std::nullopt;
        const auto next = std::min<std::size_t>((chunk + 1) * job.chunkTasks, job.spec.tasks);
        return BitRange{chunk * job.chunkTasks, next, chunk};
    }
    if (*stop != '-') return std::nullopt;
    std::size_t last = 0;
    const auto [lastStop, lastError] = std::from_chars(stop + 1, end, last);
    if (lastError != std::errc() || lastStop != end) return std::nullopt;
    if (first >= last || last > job.spec.tasks) return std::nullopt;
    return BitRange{first, last, std::nullopt};
}

/// False: the key covers nothing of the job, or its value is not new.
bool StateReplica::applyBits(Job& job, std::string_view key, const msgpack::object& value,
                             std::uint64_t version) {
    if (job.terminalState != TerminalState::none) return false;
    const auto range = parseRange(job, key);
    if (!range || version <= job.versionOf(*range)) return false;
    std::vector<bool> bits(job.spec.tasks);
    storage::decodeBits(value, bits, range->first, range->end - range->first);
    for (auto task = range->first; task < range->end; ++task)
        if (bits[task]) job.setDone(static_cast<std::uint32_t>(task));
    job.setVersion(*range, version);
    return true;
}

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
    if (const auto known = registeredMachines.find(id); known != registeredMachines.end()) {
        // A transaction may write and delete a key at one revision; the deletion is then the later of the
        // two.
        const auto version = known->second.version;
        const bool old = change.value ? change.version <= version : change.version < version;
        if (old) return;
    }
    if (change.value)
        registeredMachines[id] = {storage::decodeMachine(*change.value), change.version};
    else
        registeredMachines.erase(id);
    changes.push_back({ChangeKind::machine, id});
}

/// A job's record or a part of its bitmap. Records are never deleted, and bits that are have had their use.
void StateReplica::applyJobKey(const protocol::KeyChange& change, std::vector<Change>& changes) {
    if (!change.value) return;
    const auto rest = change.key.substr(sizeof keys::kJobs - 1);
    const auto slash = rest.find('/');
    const auto id = rest.substr(0, slash);
    if (slash == std::string::npos) {
        applyJob(id, *change.value, change.version, changes);
    } else {
        auto* job = find(id);
        const auto range = std::string_view(rest).substr(slash + 1);
        if (!job || !applyBits(*job, range, *change.value, change.version)) return;
    }
    changes.push_back({ChangeKind::job, id});
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

}  // namespace burlpoint::bookkeeping
