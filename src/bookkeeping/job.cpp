#include "bookkeeping/job.h"

#include <algorithm>

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

}  // namespace burlpoint::bookkeeping
