#include "upgrade/store_check.h"

#include "protocol/msgpack_codec.h"

namespace burlpoint::tests {

namespace keys = storage::keys;
using storage::TerminalState;

void StoreCheck::step() {
    for (; processedEvents_ < store_.log.size(); ++processedEvents_) {
        const auto& event = store_.log[processedEvents_];
        if (event.key == keys::kToken) checkToken(event);
        if (event.key == keys::kLeader) checkLeader(event);
        if (!event.key.starts_with(keys::kJobPrefix)) continue;
        const auto name = event.key.substr(std::string(keys::kJobPrefix).size());
        const auto slash = name.find('/');
        if (slash == std::string::npos)
            checkJob(name, event);
        else
            checkBitmap(name.substr(0, slash), name.substr(slash + 1), event);
    }
}

bool StoreCheck::isDone(const std::string& job) const {
    const auto stored = record(job);
    return stored && stored->terminalState == TerminalState::done;
}

std::optional<storage::JobRecord> StoreCheck::record(const std::string& id) const {
    const auto found = store_.values.find(keys::job(id));
    if (found == store_.values.end()) return std::nullopt;
    return storage::decodeJob(protocol::unpackBody(found->second.data).get());
}

void StoreCheck::checkToken(const Store::Event& event) {
    oracle_.require(event.data.has_value(), "the fencing token was deleted");
    if (!event.data) return;
    const auto fencingToken = storage::decodeToken(protocol::unpackBody(*event.data).get());
    oracle_.require(fencingToken > fencingToken_, "the fencing token went from " +
                                                      std::to_string(fencingToken_) + " to " +
                                                      std::to_string(fencingToken));
    fencingToken_ = fencingToken;
}

void StoreCheck::checkLeader(const Store::Event& event) {
    if (!event.data) return;
    const auto leader = storage::decodeLeader(protocol::unpackBody(*event.data).get());
    oracle_.require(
        leader.fencingToken > leaderToken_,
        "fencing token " + std::to_string(leader.fencingToken) + " of " + leader.node + " was used before");
    leaderToken_ = leader.fencingToken;
    ++leaderTerms_;
}

void StoreCheck::checkJob(const std::string& id, const Store::Event& event) {
    oracle_.require(event.data.has_value(), "the record of " + id + " was deleted");
    if (!event.data) return;
    const auto terminalState = storage::decodeJob(protocol::unpackBody(*event.data).get()).terminalState;
    auto& previous = storedStates_.try_emplace(id, TerminalState::none).first->second;
    oracle_.require(previous == TerminalState::none || previous == terminalState,
                    "the stored terminal state of " + id + " has changed");
    previous = terminalState;
    const auto facts = oracle_.jobs.find(id);
    oracle_.require(facts != oracle_.jobs.end(), "a record of " + id + ", which was never submitted");
    if (facts == oracle_.jobs.end()) return;
    const bool early = terminalState == TerminalState::done && !facts->second.allCompleted();
    oracle_.require(!early, "not_done: " + id + " is stored as done with incomplete tasks");
}

StoreCheck::ChunkRange StoreCheck::parseRange(const std::string& range, std::size_t chunkTasks) {
    const auto dash = range.find('-');
    const std::size_t first = std::stoul(range.substr(0, dash));
    if (dash == std::string::npos) return {first * chunkTasks, chunkTasks, false};
    return {first, std::stoul(range.substr(dash + 1)) - first, true};
}

void StoreCheck::checkBitmap(const std::string& id, const std::string& range, const Store::Event& event) {
    const auto& job = oracle_.job(id);
    const auto stored = record(id);
    auto& previous = bitmaps_[event.key];
    if (!event.data) {
        oracle_.require(stored && stored->terminalState != TerminalState::none,
                        "the bitmap of " + id + " was deleted before a terminal state");
        previous.clear();
        return;
    }
    const auto covered = parseRange(range, stored->chunkTasks);
    partialChunksWritten_ += covered.isPartialChunk;
    std::vector<bool> bits(job.spec.tasks);
    storage::decodeBits(protocol::unpackBody(*event.data).get(), bits, covered.first, covered.count);
    previous.resize(bits.size());
    for (std::uint32_t task = 0; task < bits.size(); ++task) {
        const auto name = id + "/" + std::to_string(task);
        oracle_.require(!bits[task] || job.completed.contains(task),
                        "not_done: a bit is set for the incomplete task " + name);
        oracle_.require(bits[task] || !previous[task], "the bit of " + name + " was cleared");
    }
    previous = std::move(bits);
}

}  // namespace burlpoint::tests
