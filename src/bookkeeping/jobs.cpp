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

BitRange Job::rangeOf(std::uint32_t task, std::size_t mostBytes) const {
    const std::size_t tasks = spec.tasks, chunk = task / chunkTasks, first = chunk * chunkTasks;
    const auto end = std::min(first + chunkTasks, tasks);
    if ((end - first + 3) / 4 + 2 <= mostBytes) return {first, end, chunk};  // digits and quotes
    const std::size_t size = storage::chunkTasks(static_cast<double>(mostBytes) / 1024);
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
    known->version = version;
    known->acceptedMs = record.acceptedMs;
    known->chunkTasks = record.chunkTasks;
    if (record.final == Final::open) {
        open_.insert(known);
        return;
    }
    known->final = record.final;
    known->doneCount = record.done;
    known->done = {};
    known->chunkVersions = {};
    known->partVersions = {};
    open_.erase(known);
    if (known->run) {
        known->run->waiting = 0;
        known->run->unstored.clear();
    }
}

/// `key` is a chunk's number, or the range of a part as "first-end". False: neither, or nothing new.
bool Mirror::applyBits(Job& job, std::string_view key, const msgpack::object& value, std::uint64_t version) {
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
