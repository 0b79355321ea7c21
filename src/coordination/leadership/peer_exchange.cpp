#include "coordination/leadership/peer_exchange.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace burlpoint::coordination {

using protocol::PeerStatus;
using namespace std::chrono_literals;

namespace {

constexpr auto kPeerSilence = 2500ms;        // peers are asked every second, so two questions went unanswered
constexpr auto kRefusedAloneAfter = 2500ms;  // without an answer of the key-value store that others get
constexpr auto kPeersServedFor = 2000ms;     // and these got one so long after this node's last
constexpr auto kPeersServedWithin = 2000ms;  // which is no longer ago than this
constexpr std::size_t kMaxTold = 500;        // cancellations in one message, which has 64 KiB at most
constexpr std::uint64_t kMaxStateAgeMs = 1u << 30;  // twelve days: what a peer tells must not overflow

std::uint64_t drawLogId() {
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);  // 0 names none
}

}  // namespace

PeerExchange::PeerExchange(const protocol::Settings& settings, const bookkeeping::StateReplica& replica,
                           NoteCancelled noteCancelled)
    : settings_(settings), replica_(replica), noteCancelled_(std::move(noteCancelled)), log_(drawLogId()) {}

bool PeerExchange::noteStatus(const PeerStatus& status, Time now) {
    const bool known = std::any_of(settings_.peers.begin(), settings_.peers.end(),
                                   [&](const auto& peer) { return peer.name == status.node; });
    if (!known) return false;
    auto& view = peers_[status.node];
    view.heardAt = now;
    view.stateAnsweredAt = now - std::chrono::milliseconds(std::min(status.stateAgeMs, kMaxStateAgeMs));
    view.ownToken = status.fencingToken;
    view.leaderToken = status.leaderToken;
    return true;
}

bool PeerExchange::inTouch(const std::string& peer, Time now) const {
    const auto view = peers_.find(peer);
    return view != peers_.end() && now - view->second.heardAt < kPeerSilence;
}

// A follower that the key-value store refuses reads no new leader's record. Seen on a simulated day: it was
// the only node that both the new leader and the workers behind a cut could reach, and it sent these to
// nobody.
std::optional<storage::LeaderRecord> PeerExchange::knownLeader(Time now) const {
    auto leader = replica_.leader;
    for (const auto& [name, view] : peers_)
        if (inTouch(name, now) && view.ownToken > (leader ? leader->fencingToken : 0))
            leader = storage::LeaderRecord{name, view.ownToken};
    return leader;
}

std::string PeerExchange::peerInTouchWithLeader(Time now) const {
    const auto leader = knownLeader(now);
    if (!leader) return "";
    for (const auto& [name, view] : peers_)
        if (name != leader->node && inTouch(name, now) && view.leaderToken >= leader->fencingToken)
            return name;
    return "";
}

// In an outage that all nodes share, stepping aside would help nobody: nobody could take over, and every task
// would be lost. So a peer must have been served for a while after this node was last: a refusal that an
// outage follows at once is no reason, since the leader goes on by its peers' votes.
bool PeerExchange::refusedAlone(Time lastAnswer, Time now) const {
    if (now - lastAnswer < kRefusedAloneAfter) return false;
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& view = entry.second;
        return now - view.heardAt < kPeerSilence && now - view.stateAnsweredAt < kPeersServedWithin &&
               view.stateAnsweredAt - lastAnswer >= kPeersServedFor;
    });
}

void PeerExchange::describeKnownState(const std::string& peer, PeerStatus& question) const {
    const auto view = peers_.find(peer);
    const bool known = view != peers_.end();
    question.revision = replica_.revision;
    question.log = known ? view->second.log : 0;
    question.logAt = known ? view->second.logAt : 0;
}

void PeerExchange::appendCancellations(const PeerStatus& asking, PeerStatus& answer) const {
    const auto& known = replica_.cancelled();
    answer.log = log_;
    auto at = asking.log == log_ ? std::min<std::uint64_t>(asking.logAt, known.size()) : 0;
    for (; at < known.size() && answer.cancelled.size() < kMaxTold; ++at)
        if (known[at]->version > asking.revision)
            answer.cancelled.push_back({known[at]->spec.id, known[at]->version});
    answer.logAt = at;
    answer.complete = at == known.size();
}

bool PeerExchange::applyCancellations(const PeerStatus& answer) {
    for (const auto& cancellation : answer.cancelled) noteCancelled_(cancellation);
    auto& view = peers_[answer.node];
    view.log = answer.log;
    view.logAt = answer.logAt;
    return !answer.cancelled.empty() && !answer.complete;
}

}  // namespace burlpoint::coordination
