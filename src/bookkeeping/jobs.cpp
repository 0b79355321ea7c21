#include "bookkeeping/jobs.h"

#include <algorithm>
#include <charconv>

namespace burlpoint::bookkeeping {

namespace keys = storage::keys;

void Job::setDone(std::uint32_t task) {
    if (task >= spec.tasks || isDone(task) || final != Final::open) return;
    const bool wasWaiting = run && isWaiting(task);
    if (done.empty()) done.resize(spec.tasks);
    done[task] = true;
    ++doneCount;
    if (!run) return;
    run->unstored.erase(task);
    if (wasWaiting) --run->waiting;
}

void Job::setChunkVersion(std::size_t chunk, std::uint64_t newVersion) {
    if (chunkVersions.empty()) chunkVersions.resize(chunks());
    if (chunk < chunkVersions.size()) chunkVersions[chunk] = std::max(chunkVersions[chunk], newVersion);
}

BitRange Job::rangeOf(std::uint32_t task, std::size_t maxBytes) const {
    const std::size_t tasks = spec.tasks, chunk = task / chunkTasks, first = chunk * chunkTasks;
    const auto end = std::min(first + chunkTasks, tasks);
    if ((end - first + 3) / 4 + 2 <= maxBytes) return {first, end, chunk};  // digits and quotes
    const std::size_t size = storage::chunkTasks(static_cast<double>(maxBytes) / 1024);
    const auto from = task / size * size;
    return {from, std::min(from + size, tasks), std::nullopt};
}

std::string Job::keyOf(const BitRange& range) const {
    return range.chunk ? keys::doneChunk(spec.id, *range.chunk)
                       : keys::donePart(spec.id, range.first, range.end);
}

std::uint64_t Job::versionOf(const BitRange& range) const {
    if (range.chunk) return chunkVersion(*range.chunk);
    const auto found = partVersions.find(range);
    return found == partVersions.end() ? 0 : found->second;
}

void Job::setVersion(const BitRange& range, std::uint64_t newVersion) {
    if (range.chunk) return setChunkVersion(*range.chunk, newVersion);
    auto& known = partVersions[range];
    known = std::max(known, newVersion);
}

bool Job::finish(std::uint32_t task) {
    if (isFinished(task)) return false;
    if (run->live[task] == 0) --run->waiting;
    run->unstored.insert(task);
    return true;
}

void Job::addLive(std::uint32_t task, const std::string& machine, const std::string& zone) {
    if (isWaiting(task)) --run->waiting;
    ++run->live[task];
    ++run->liveTotal;
    ++run->zones[zone];
    ++run->machines[machine];
}

void Job::dropLive(std::uint32_t task, const std::string& machine, const std::string& zone) {
    --run->live[task];
    --run->liveTotal;
    if (const auto found = run->zones.find(zone); --found->second == 0) run->zones.erase(found);
    if (const auto found = run->machines.find(machine); --found->second == 0) run->machines.erase(found);
    if (isWaiting(task)) {
        ++run->waiting;
        run->hint = std::min(run->hint, task);
    }
}

std::optional<std::uint32_t> Job::firstWaiting() {
    if (run->waiting == 0) return std::nullopt;
    while (run->hint < spec.tasks && !isWaiting(run->hint)) ++run->hint;
    return run->hint < spec.tasks ? std::optional(run->hint) : std::nullopt;
}

void Job::beginRun(bool inherited, Time now) {
    run = std::make_unique<JobRun>(spec.tasks);
    run->inherited = inherited;
    run->waitingSince = now;
    run->priority = urgency;
    run->waiting = final == Final::open ? spec.tasks - doneCount : 0;
}

protocol::JobState Job::state(std::uint32_t runningTasks) const {
    if (final == Final::done) return protocol::JobState::done;
    if (final == Final::cancelled) return protocol::JobState::cancelled;
    return runningTasks > 0 ? protocol::JobState::running : protocol::JobState::queued;
}

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
    if (record.spec.id != id) throw protocol::Malformed("a job under another's key");
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
    if (record.final != Final::open) return close(*known, record.final, record.done, version, changes);
    known->version = version;
    if (!fresh) return;
    open_.insert(known);
    if (const auto ahead = cancelledAhead_.find(id); ahead != cancelledAhead_.end())
        return close(*known, Final::cancelled, 0, ahead->second, changes);
    enter(*known, changes);
}

/// An open job that was not known: what it waits for, and whether it is cancelled with one of these.
void StateReplica::enter(Job& job, std::vector<Change>& changes) {
    job.readyMs = job.acceptedMs;
    job.urgency = job.spec.priority;
    if (job.spec.deadline)
        job.dueMs = job.acceptedMs + static_cast<std::uint64_t>(job.spec.deadline->count() * 1000);
    bool cancelled = false;
    for (const auto& id : job.spec.dependencies) {
        const auto* needed = find(id);
        if (needed && needed->final == Final::done) {
            job.readyMs = std::max(job.readyMs, needed->endedMs);
            continue;
        }
        ++job.openDependencies;
        if (needed && needed->final == Final::cancelled)
            cancelled = true;
        else
            dependents_[id].push_back(&job);
    }
    if (!job.spec.dependencies.empty() || dependents_.contains(job.spec.id)) staleUrgency_.insert(&job);
    if (!cancelled) return;
    end(job, Final::cancelled, 0);
    job.derived = true;
    cancelDependents(job, changes);
}

/// What the job's record says, or will say once it is read.
void StateReplica::close(Job& job, Final final, std::uint32_t done, std::uint64_t version,
                         std::vector<Change>& changes) {
    const auto before = job.final;
    if (final == Final::cancelled && (before != Final::cancelled || job.derived)) cancelled_.push_back(&job);
    job.derived = false;
    cancelledAhead_.erase(job.spec.id);
    job.version = version;
    end(job, final, done);
    if (before != Final::open) return;
    if (final == Final::done)
        freeDependents(job, changes);
    else
        cancelDependents(job, changes);
}

void StateReplica::end(Job& job, Final final, std::uint32_t done) {
    job.final = final;
    job.doneCount = done;
    job.done = {};
    job.chunkVersions = {};
    job.partVersions = {};
    open_.erase(&job);
    staleUrgency_.erase(&job);
    if (job.run) {
        job.run->waiting = 0;
        job.run->unstored.clear();
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
            if (dependent->final != Final::open) continue;
            end(*dependent, Final::cancelled, 0);
            dependent->derived = true;
            changes.push_back({ChangeKind::job, dependent->spec.id});
            ended.push_back(dependent);
        }
    }
}

void StateReplica::freeDependents(const Job& job, std::vector<Change>& changes) {
    const auto found = dependents_.find(job.spec.id);
    if (found == dependents_.end()) return;
    for (auto* dependent : found->second) {
        if (dependent->final != Final::open) continue;
        dependent->readyMs = std::max(dependent->readyMs, job.endedMs);
        if (--dependent->openDependencies == 0) changes.push_back({ChangeKind::job, dependent->spec.id});
    }
    dependents_.erase(found);
}

/// What the job needs is no longer, or not yet, needed by it.
void StateReplica::staleDependencies(const Job& job) {
    for (const auto& id : job.spec.dependencies)
        if (auto* needed = find(id); needed && needed->final == Final::open) staleUrgency_.insert(needed);
}

void StateReplica::updateUrgency() {
    while (!staleUrgency_.empty()) {
        auto& job = **staleUrgency_.begin();
        staleUrgency_.erase(staleUrgency_.begin());
        if (job.final != Final::open) continue;
        auto urgency = job.spec.priority;
        std::optional<std::uint64_t> due;
        if (job.spec.deadline)
            due = job.acceptedMs + static_cast<std::uint64_t>(job.spec.deadline->count() * 1000);
        if (const auto found = dependents_.find(job.spec.id); found != dependents_.end())
            for (const auto* dependent : found->second) {
                if (dependent->final != Final::open) continue;
                urgency = std::max(urgency, dependent->urgency);
                if (!dependent->dueMs) continue;
                const auto work = static_cast<std::uint64_t>(dependent->spec.estimate.count() * 1000);
                due = std::min(due.value_or(*dependent->dueMs),
                               *dependent->dueMs - std::min(work, *dependent->dueMs));
            }
        if (urgency == job.urgency && due == job.dueMs && job.urgencyPropagated) continue;
        job.urgency = urgency;
        job.dueMs = due;
        job.urgencyPropagated = true;
        staleDependencies(job);
    }
}

void StateReplica::noteDone(Job& job, std::uint64_t version, std::uint64_t endedMs,
                            std::vector<Change>& changes) {
    if (job.final != Final::open) return;
    job.endedMs = endedMs;
    close(job, Final::done, job.spec.tasks, version, changes);
}

void StateReplica::noteCancelled(const std::string& id, std::uint64_t version, std::vector<Change>& changes) {
    auto* job = find(id);
    if (!job) {
        // Its record will be read later, perhaps as it stood before the cancellation.
        cancelledAhead_[id] = version;
        return;
    }
    if (job->final != Final::open) return;
    close(*job, Final::cancelled, job->doneCount, version, changes);
    changes.push_back({ChangeKind::job, id});
}

/// `key` is a chunk's number, or the range of a part as "first-end". False: neither, or nothing new.
bool StateReplica::applyBits(Job& job, std::string_view key, const msgpack::object& value,
                             std::uint64_t version) {
    if (job.final != Final::open) return false;
    const char* end = key.data() + key.size();
    BitRange range;
    const auto [stop, error] = std::from_chars(key.data(), end, range.first);
    if (error != std::errc()) return false;
    if (stop == end) {
        const auto chunk = range.first;
        if (chunk >= job.chunks()) return false;
        range = {chunk * job.chunkTasks, std::min<std::size_t>((chunk + 1) * job.chunkTasks, job.spec.tasks),
                 chunk};
    } else {
        if (*stop != '-') return false;
        const auto [last, wrong] = std::from_chars(stop + 1, end, range.end);
        if (wrong != std::errc() || last != end || range.first >= range.end || range.end > job.spec.tasks)
            return false;
    }
    if (version <= job.versionOf(range)) return false;
    std::vector<bool> bits(job.spec.tasks);
    storage::decodeBits(value, bits, range.first, range.end - range.first);
    for (auto task = range.first; task < range.end; ++task)
        if (bits[task]) job.setDone(static_cast<std::uint32_t>(task));
    job.setVersion(range, version);
    return true;
}

bool StateReplica::apply(const protocol::KeyChange& change, std::vector<Change>& changes) {
    const std::string& key = change.key;
    try {
        if (key == keys::kLeader) {
            if (change.version <= leaderVersion) return true;
            leader = change.value ? std::optional(storage::decodeLeader(*change.value)) : std::nullopt;
            leaderVersion = change.version;
            changes.push_back({ChangeKind::leader, ""});
        } else if (key == keys::kToken) {
            if (!change.value || change.version <= tokenVersion) return true;
            token = storage::decodeToken(*change.value);
            tokenVersion = change.version;
        } else if (key == keys::kTypes) {
            if (!change.value || change.version <= typesVersion) return true;
            types = protocol::decodeMachineTypes(*change.value);
            typesVersion = change.version;
            changes.push_back({ChangeKind::types, ""});
        } else if (key.starts_with(keys::kMachines)) {
            const auto id = key.substr(sizeof keys::kMachines - 1);
            const auto known = roster.find(id);
            // A transaction may write and delete a key at one revision; the deletion is then the later of the
            // two.
            if (known != roster.end() && (change.value ? change.version <= known->second.version
                                                       : change.version < known->second.version))
                return true;
            if (change.value)
                roster[id] = {storage::decodeMachine(*change.value), change.version};
            else
                roster.erase(id);
            changes.push_back({ChangeKind::roster, id});
        } else if (key.starts_with(keys::kJobs) && change.value) {
            const auto rest = key.substr(sizeof keys::kJobs - 1);
            const auto slash = rest.find('/');
            const auto id = rest.substr(0, slash);
            if (slash == std::string::npos) {
                applyJob(id, *change.value, change.version, changes);
            } else {
                auto* job = find(id);
                const auto bits = std::string_view(rest).substr(slash + 1);
                if (!job || !applyBits(*job, bits, *change.value, change.version)) return true;
            }
            changes.push_back({ChangeKind::job, id});
        }
    } catch (const protocol::Malformed&) {
        return false;
    }
    return true;
}

void StateReplica::dropUnread(const std::set<std::string>& read, std::vector<Change>& changes) {
    if (leader && !read.contains(keys::kLeader)) {
        leader.reset();
        changes.push_back({ChangeKind::leader, ""});
    }
    for (auto it = roster.begin(); it != roster.end();) {
        if (read.contains(keys::machine(it->first))) {
            ++it;
            continue;
        }
        changes.push_back({ChangeKind::roster, it->first});
        it = roster.erase(it);
    }
}

}  // namespace burlpoint::bookkeeping
