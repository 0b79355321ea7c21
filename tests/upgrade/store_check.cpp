#include "upgrade/store_check.h"

#include "protocol/msgpack_codec.h"

namespace burlpoint::tests {

namespace keys = storage::keys;
using storage::TerminalState;

void StoreCheck::step() {
    for (; seen_ < store_.log.size(); ++seen_) {
        const auto& event = store_.log[seen_];
        if (event.key == keys::kToken) checkToken(event);
        if (event.key == keys::kLeader) checkLeader(event);
        if (!event.key.starts_with(keys::kJobs)) continue;
        const auto name = event.key.substr(std::string(keys::kJobs).size());
        const auto slash = name.find('/');
        if (slash == std::string::npos)
            checkJob(name, event);
        else
            checkBits(name.substr(0, slash), name.substr(slash + 1), event);
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
    rules_.require(event.data.has_value(), "the token was deleted");
    if (!event.data) return;
    const auto fencingToken = storage::decodeToken(protocol::unpackBody(*event.data).get());
    rules_.require(fencingToken > fencingToken_, "the token went from " + std::to_string(fencingToken_) +
                                                     " to " + std::to_string(fencingToken));
    fencingToken_ = fencingToken;
}

void StoreCheck::checkLeader(const Store::Event& event) {
    if (!event.data) return;
    const auto leader = storage::decodeLeader(protocol::unpackBody(*event.data).get());
    rules_.require(leader.fencingToken > leaderToken_, "token " + std::to_string(leader.fencingToken) +
                                                           " of " + leader.node + " was used before");
    leaderToken_ = leader.fencingToken;
    ++leaderships_;
}

void StoreCheck::checkJob(const std::string& id, const Store::Event& event) {
    rules_.require(event.data.has_value(), "the record of " + id + " was deleted");
    if (!event.data) return;
    const auto terminalState = storage::decodeJob(protocol::unpackBody(*event.data).get()).terminalState;
    auto& before = storedStates_.try_emplace(id, TerminalState::none).first->second;
    rules_.require(before == TerminalState::none || before == terminalState,
                   "the stored end of " + id + " has changed");
    before = terminalState;
    const auto facts = rules_.jobs.find(id);
    rules_.require(facts != rules_.jobs.end(), "a record of " + id + ", which nobody submitted");
    if (facts == rules_.jobs.end()) return;
    const bool early = terminalState == TerminalState::done && !facts->second.allCompleted();
    rules_.require(!early, "not_done: " + id + " is stored as done");
}

StoreCheck::Bits StoreCheck::parseRange(const std::string& range, std::size_t chunkTasks) {
    const auto dash = range.find('-');
    const std::size_t first = std::stoul(range.substr(0, dash));
    if (dash == std::string::npos) return {first * chunkTasks, chunkTasks, false};
    return {first, std::stoul(range.substr(dash + 1)) - first, true};
}

void StoreCheck::checkBits(const std::string& id, const std::string& range, const Store::Event& event) {
    const auto& job = rules_.job(id);
    const auto stored = record(id);
    auto& before = bits_[event.key];
    if (!event.data) {
        rules_.require(stored && stored->terminalState != TerminalState::none,
                       "bits of " + id + " were deleted too early");
        before.clear();
        return;
    }
    const auto covered = parseRange(range, stored->chunkTasks);
    partsWritten_ += covered.isPart;
    std::vector<bool> bits(job.spec.tasks);
    storage::decodeBits(protocol::unpackBody(*event.data).get(), bits, covered.first, covered.count);
    before.resize(bits.size());
    for (std::uint32_t task = 0; task < bits.size(); ++task) {
        const auto name = id + "/" + std::to_string(task);
        rules_.require(!bits[task] || job.completed.contains(task), "not_done: the bit of " + name);
        rules_.require(bits[task] || !before[task], "the bit of " + name + " was lost");
    }
    before = std::move(bits);
}

}  // namespace burlpoint::tests
