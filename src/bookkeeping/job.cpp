#include "bookkeeping/job.h"

#include <algorithm>
#include <charconv>

namespace burlpoint::bookkeeping {

namespace keys = storage::keys;
using storage::TerminalState;

namespace {

/// The size in bytes of `bits` bits as a JSON string of hexadecimal digits, with its quotes.
std::size_t encodedBytes(std::size_t bits) { return (bits + 3) / 4 + 2; }

}  // namespace

const Image& Job::image() const {
    if (!image_) image_ = Image(spec.image);
    return *image_;
}

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

BitRange Job::chunkRange(std::size_t chunk) const {
    const auto first = chunk * chunkTasks;
    return {first, std::min<std::size_t>(first + chunkTasks, spec.tasks), chunk};
}

BitRange Job::rangeOf(std::uint32_t task, std::size_t maxBytes) const {
    const auto chunk = chunkRange(task / chunkTasks);
    if (encodedBytes(chunk.end - chunk.first) <= maxBytes) return chunk;
    const std::size_t size = storage::chunkTasks(static_cast<double>(maxBytes) / 1024);
    const auto first = task / size * size;
    return {first, std::min<std::size_t>(first + size, spec.tasks), std::nullopt};
}

std::string Job::keyOf(const BitRange& range) const {
    return range.chunk ? keys::bitmapChunk(spec.id, *range.chunk)
                       : keys::bitmapPart(spec.id, range.first, range.end);
}

std::optional<BitRange> Job::parseRange(std::string_view text) const {
    const char* const end = text.data() + text.size();
    std::size_t first = 0;
    const auto [stop, error] = std::from_chars(text.data(), end, first);
    if (error != std::errc()) return std::nullopt;
    if (stop == end) return first < chunkCount() ? std::optional(chunkRange(first)) : std::nullopt;
    if (*stop != '-') return std::nullopt;
    std::size_t last = 0;
    const auto [lastStop, lastError] = std::from_chars(stop + 1, end, last);
    if (lastError != std::errc() || lastStop != end) return std::nullopt;
    if (first >= last || last > spec.tasks) return std::nullopt;
    return BitRange{first, last, std::nullopt};
}

bool Job::setFinished(std::uint32_t task) {
    if (isFinished(task)) return false;
    if (run->placedCount.of(task) == 0) --run->waiting;
    run->unpersistedTasks.insert(task);
    return true;
}

void Job::addPlaced(std::uint32_t task, const std::string& machine, const std::string& zone) {
    if (isWaiting(task)) --run->waiting;
    run->placedCount.add(task);
    ++run->placedTotal;
    ++run->zones[zone];
    ++run->machines[machine];
}

void Job::removePlaced(std::uint32_t task, const std::string& machine, const std::string& zone) {
    run->placedCount.remove(task);
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
    const auto first = firstWaitingFrom(run->firstWaitingHint);
    run->firstWaitingHint = first.value_or(spec.tasks);
    return first;
}

std::optional<std::uint32_t> Job::firstWaitingFrom(std::uint32_t first) const {
    for (auto task = first; task < spec.tasks; ++task)
        if (isWaiting(task)) return task;
    return std::nullopt;
}

void Job::beginRun(JobOrigin origin, Time now) {
    run = std::make_unique<JobRun>();
    run->origin = origin;
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
