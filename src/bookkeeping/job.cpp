#include "bookkeeping/job.h"

#include <algorithm>

namespace burlpoint::bookkeeping {

namespace keys = storage::keys;

void Job::setDone(std::uint32_t task) {
    if (task >= spec.tasks || isDone(task) || terminalState != TerminalState::none) return;
    const bool wasWaiting = run && isWaiting(task);
    if (done.empty()) done.resize(spec.tasks);
    done[task] = true;
    ++doneCount;
    if (!run) return;
    run->unpersistedTasks.erase(task);
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
    if (run->placedCount[task] == 0) --run->waiting;
    run->unpersistedTasks.insert(task);
    return true;
}

void Job::addPlaced(std::uint32_t task, const std::string& machine, const std::string& zone) {
    if (isWaiting(task)) --run->waiting;
    ++run->placedCount[task];
    ++run->placedTotal;
    ++run->zones[zone];
    ++run->machines[machine];
}

void Job::removePlaced(std::uint32_t task, const std::string& machine, const std::string& zone) {
    --run->placedCount[task];
    --run->placedTotal;
    if (const auto found = run->zones.find(zone); --found->second == 0) run->zones.erase(found);
    if (const auto found = run->machines.find(machine); --found->second == 0) run->machines.erase(found);
    if (isWaiting(task)) {
        ++run->waiting;
        run->firstWaitingHint = std::min(run->firstWaitingHint, task);
    }
}

std::optional<std::uint32_t> Job::firstWaiting() {
    if (run->waiting == 0) return std::nullopt;
    while (run->firstWaitingHint < spec.tasks && !isWaiting(run->firstWaitingHint)) ++run->firstWaitingHint;
    return run->firstWaitingHint < spec.tasks ? std::optional(run->firstWaitingHint) : std::nullopt;
}

void Job::beginRun(bool inherited, Time now) {
    run = std::make_unique<JobRun>(spec.tasks);
    run->inherited = inherited;
    run->waitingSince = now;
    run->priority = effectivePriority;
    run->waiting = terminalState == TerminalState::none ? spec.tasks - doneCount : 0;
}

protocol::JobState Job::state(std::uint32_t runningTasks) const {
    if (terminalState == TerminalState::done) return protocol::JobState::done;
    if (terminalState == TerminalState::cancelled) return protocol::JobState::cancelled;
    return runningTasks > 0 ? protocol::JobState::running : protocol::JobState::queued;
}

}  // namespace burlpoint::bookkeeping
