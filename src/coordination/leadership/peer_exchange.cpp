#include "coordination/leadership/peer_exchange.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace burlpoint::coordination {

using protocol::PeerStatus;
using namespace std::chrono_literals;

namespace {

// A peer's last status is recent if it is younger than this. Each peer is sent a status message every
// second, so after this time two messages have gone unanswered.
constexpr auto kPeerTimeout = 2500ms;
// This and the next two constants are thresholds of `PeerExchange::isolatedFromStore`. The key-value store's
// last answer to this controller must be at least this long ago.
constexpr auto kIsolatedAfter = 2500ms;
// The store's last answer to some peer must be at least this much later than its last answer to this
// controller.
constexpr auto kMinAnswerGap = 2000ms;
// The store's last answer to the same peer must be less than this long ago.
constexpr auto kMaxPeerAnswerAge = 2000ms;
// Keeps a message below its limit of 64 KiB.
constexpr std::size_t kMaxCancellationsPerMessage = 500;
// Upper limit, 12 days, for the age that a peer reports, so that it cannot overflow a time point.
constexpr std::uint64_t kMaxStateAgeMs = 1u << 30;

std::uint64_t generateLogId() {
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);  // 0 means that the id is unknown
}

}  // namespace

PeerExchange::PeerExchange(const protocol::Settings& settings, const bookkeeping::StateReplica& replica,
                           ApplyCancellation applyCancellation)
    : settings_(settings),
      replica_(replica),
      applyCancellation_(std::move(applyCancellation)),
      cancellationLogId_(generateLogId()) {}

bool PeerExchange::recordStatus(const PeerStatus& status, Time now) {
    const bool known = std::any_of(settings_.peers.begin(), settings_.peers.end(),
                                   [&](const auto& peer) { return peer.name == status.node; });
    if (!known) return false;
    auto& view = peers_[status.node];
    view.lastStatusAt = now;
    view.storeAnsweredAt = now - std::chrono::milliseconds(std::min(status.stateAgeMs, kMaxStateAgeMs));
    view.ownFencingToken = status.fencingToken;
    view.leaderToken = status.leaderToken;
    return true;
}

bool PeerExchange::hasRecentStatus(const std::string& peer, Time now) const {
    const auto view = peers_.find(peer);
    return view != peers_.end() && now - view->second.lastStatusAt < kPeerTimeout;
}

// Peers' reports count because a follower that the key-value store refuses cannot read a new leader's record.
// In a simulation, such a follower was the only controller that could be reached both by the new leader and
// by the workers behind a network partition, and it knew no leader to refer them to.
std::optional<storage::LeaderRecord> PeerExchange::knownLeader(Time now) const {
    auto leader = replica_.leader;
    for (const auto& [name, view] : peers_)
        if (hasRecentStatus(name, now) && view.ownFencingToken > (leader ? leader->fencingToken : 0))
            leader = storage::LeaderRecord{name, view.ownFencingToken};
    return leader;
}

std::string PeerExchange::peerWithRecentLeaderStatus(Time now) const {
    const auto leader = knownLeader(now);
    if (!leader) return "";
    for (const auto& [name, view] : peers_)
        if (name != leader->node && hasRecentStatus(name, now) && view.leaderToken >= leader->fencingToken)
            return name;
    return "";
}

// In an outage that affects all controllers, a resignation would be harmful: no controller could become
// leader, and all tasks would be lost. Therefore the key-value store must still have answered a peer at least
// `kMinAnswerGap` after its last answer to this controller. A refusal of this controller that is directly
// followed by an outage is no reason to resign, as the peers' votes extend the leader's lease.
bool PeerExchange::isolatedFromStore(Time lastAnswerAt, Time now) const {
    if (now - lastAnswerAt < kIsolatedAfter) return false;
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& view = entry.second;
        return now - view.lastStatusAt < kPeerTimeout && now - view.storeAnsweredAt < kMaxPeerAnswerAge &&
               view.storeAnsweredAt - lastAnswerAt >= kMinAnswerGap;
    });
}

void PeerExchange::describeKnownState(const std::string& peer, PeerStatus& question) const {
    const auto view = peers_.find(peer);
    const bool known = view != peers_.end();
    question.revision = replica_.revision;
    question.logId = known ? view->second.cancellationLogId : 0;
    question.logPosition = known ? view->second.cancellationLogPosition : 0;
}

void PeerExchange::appendCancellations(const PeerStatus& query, PeerStatus& answer) const {
    const auto& known = replica_.cancelled();
    answer.logId = cancellationLogId_;
    // A position in the log of an earlier process of this controller is not valid in the log of this process.
    const bool sameLog = query.logId == cancellationLogId_;
    auto position = sameLog ? std::min<std::uint64_t>(query.logPosition, known.size()) : 0;
    for (; position < known.size() && answer.cancelled.size() < kMaxCancellationsPerMessage; ++position) {
        const auto& job = *known[position];
        if (job.version > query.revision) answer.cancelled.push_back({job.spec.id, job.version});
    }
    answer.logPosition = position;
    answer.complete = position == known.size();
}

bool PeerExchange::applyCancellations(const PeerStatus& answer) {
    for (const auto& cancellation : answer.cancelled) applyCancellation_(cancellation);
    auto& view = peers_[answer.node];
    view.cancellationLogId = answer.logId;
    view.cancellationLogPosition = answer.logPosition;
    return !answer.cancelled.empty() && !answer.complete;
}

}  // namespace burlpoint::coordination
