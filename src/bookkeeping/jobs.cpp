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
    run = std::make_unique<Run>(spec.tasks);
    run->inherited = inherited;
    run->waitingSince = now;
    run->waiting = final == Final::open ? spec.tasks - doneCount : 0;
}

protocol::JobState Job::state(std::uint32_t runningTasks) const {
    if (final == Final::done) return protocol::JobState::done;
    if (final == Final::cancelled) return protocol::JobState::cancelled;
    return runningTasks > 0 ? protocol::JobState::running : protocol::JobState::queued;
}

Job* Mirror::find(const std::string& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

std::vector<Job*> Mirror::openJobs() const {
    std::vector<Job*> out(open_.begin(), open_.end());
    std::sort(out.begin(), out.end(), [](const Job* a, const Job* b) { return a->accepted < b->accepted; });
    return out;
}

void Mirror::applyJob(const std::string& id, const msgpack::object& value, std::uint64_t version) {
    auto* known = find(id);
    if (known && known->version >= version) return;
    auto record = storage::decodeJob(value);
    if (record.spec.id != id) throw protocol::Malformed("a job under another's key");
    if (!known) {
        auto job = std::make_unique<Job>();
        job->spec = std::move(record.spec);
        job->accepted = version;
        known = job.get();
        jobs_.emplace(id, std::move(job));
    }
    known->acceptedMs = record.acceptedMs;
    known->chunkTasks = record.chunkTasks;
    if (record.final != Final::open) return close(*known, record.final, record.done, version);
    known->version = version;
    open_.insert(known);
    if (const auto ahead = cancelledAhead_.find(id); ahead != cancelledAhead_.end())
        close(*known, Final::cancelled, 0, ahead->second);
}

void Mirror::close(Job& job, Final final, std::uint32_t done, std::uint64_t version) {
    if (final == Final::cancelled && job.final != Final::cancelled) cancelled_.push_back(&job);
    cancelledAhead_.erase(job.spec.id);
    job.version = version;
    job.final = final;
    job.doneCount = done;
    job.done = {};
    job.chunkVersions = {};
    open_.erase(&job);
    if (job.run) {
        job.run->waiting = 0;
        job.run->unstored.clear();
    }
}

void Mirror::noteCancelled(const std::string& id, std::uint64_t version, std::vector<Change>& changes) {
    auto* job = find(id);
    if (!job) {
        // Its record will be read later, perhaps as it stood before the cancellation.
        cancelledAhead_[id] = version;
        return;
    }
    if (job->final != Final::open) return;
    close(*job, Final::cancelled, job->doneCount, version);
    changes.push_back({ChangeKind::job, id});
}

bool Mirror::apply(const protocol::KeyChange& change, std::vector<Change>& changes) {
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
                applyJob(id, *change.value, change.version);
            } else {
                auto* job = find(id);
                std::size_t chunk = 0;
                const char* end = rest.data() + rest.size();
                const auto [stop, error] = std::from_chars(rest.data() + slash + 1, end, chunk);
                if (!job || job->final != Final::open || error != std::errc() || stop != end) return true;
                if (chunk >= job->chunks() || change.version <= job->chunkVersion(chunk)) return true;
                std::vector<bool> bits(job->spec.tasks);
                const auto first = chunk * job->chunkTasks;
                storage::decodeBits(*change.value, bits, first, job->chunkTasks);
                for (auto task = first; task < std::min<std::size_t>(first + job->chunkTasks, bits.size());
                     ++task)
                    if (bits[task]) job->setDone(static_cast<std::uint32_t>(task));
                job->setChunkVersion(chunk, change.version);
            }
            changes.push_back({ChangeKind::job, id});
        }
    } catch (const protocol::Malformed&) {
        return false;
    }
    return true;
}

void Mirror::dropUnread(const std::set<std::string>& read, std::vector<Change>& changes) {
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
