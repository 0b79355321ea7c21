#include "coordination/leadership/peer_exchange.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace burlpoint::coordination {

using protocol::PeerStatus;
using namespace std::chrono_literals;

namespace {

constexpr auto kPeerTimeout = 2500ms;        // peers are asked every second, so two questions went unanswered
constexpr auto kRefusedAloneAfter = 2500ms;  // since the key-value store last answered this controller
constexpr auto kPeerServedLonger = 2000ms;   // a peer's last answer came at least so long after this one's
constexpr auto kPeerServedWithin = 2000ms;   // and is no longer ago than this
constexpr std::size_t kMaxCancellationsPerMessage = 500;  // a message has 64 KiB at most
constexpr std::uint64_t kMaxStateAgeMs = 1u << 30;        // 12 days; a peer's number must not overflow a time

std::uint64_t drawLogId() {
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);  // 0 is no id
}

}  // namespace

PeerExchange::PeerExchange(const protocol::Settings& settings, const bookkeeping::StateReplica& replica,
                           NoteCancelled noteCancelled)
    : settings_(settings),
      replica_(replica),
      noteCancelled_(std::move(noteCancelled)),
      cancellationLogId_(drawLogId()) {}

bool PeerExchange::noteStatus(const PeerStatus& status, Time now) {
    const bool known = std::any_of(settings_.peers.begin(), settings_.peers.end(),
                                   [&](const auto& peer) { return peer.name == status.node; });
    if (!known) return false;
    auto& view = peers_[status.node];
    view.heardAt = now;
    view.storeAnsweredAt = now - std::chrono::milliseconds(std::min(status.stateAgeMs, kMaxStateAgeMs));
    view.leadingWith = status.fencingToken;
    view.leaderToken = status.leaderToken;
    return true;
}

bool PeerExchange::inTouch(const std::string& peer, Time now) const {
    const auto view = peers_.find(peer);
    return view != peers_.end() && now - view->second.heardAt < kPeerTimeout;
}

// A follower that the key-value store refuses can't read a new leader's record. In a simulation it was the
// only controller that both the new leader and the workers behind a network partition could reach, and it had
// no leader to name to them.
std::optional<storage::LeaderRecord> PeerExchange::knownLeader(Time now) const {
    auto leader = replica_.leader;
    for (const auto& [name, view] : peers_)
        if (inTouch(name, now) && view.leadingWith > (leader ? leader->fencingToken : 0))
            leader = storage::LeaderRecord{name, view.leadingWith};
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

// In an outage that all controllers share, resigning would help nobody: nobody could become leader, and every
// task would be lost. So a peer must have been served for a while after this controller was last: a refusal
// that is followed by an outage at once is no reason to resign, as the votes of its peers extend its lease.
bool PeerExchange::refusedAlone(Time lastAnswer, Time now) const {
    if (now - lastAnswer < kRefusedAloneAfter) return false;
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& view = entry.second;
        return now - view.heardAt < kPeerTimeout && now - view.storeAnsweredAt < kPeerServedWithin &&
               view.storeAnsweredAt - lastAnswer >= kPeerServedLonger;
    });
}

void PeerExchange::describeKnownState(const std::string& peer, PeerStatus& question) const {
    const auto view = peers_.find(peer);
    const bool known = view != peers_.end();
    question.revision = replica_.revision;
    question.log = known ? view->second.cancellationLogId : 0;
    question.logAt = known ? view->second.cancellationLogPosition : 0;
}

void PeerExchange::appendCancellations(const PeerStatus& asking, PeerStatus& answer) const {
    const auto& known = replica_.cancelled();
    answer.log = cancellationLogId_;
    // A position in the log of an earlier process of this controller means nothing in this one.
    const bool sameLog = asking.log == cancellationLogId_;
    auto position = sameLog ? std::min<std::uint64_t>(asking.logAt, known.size()) : 0;
    for (; position < known.size() && answer.cancelled.size() < kMaxCancellationsPerMessage; ++position) {
        const auto& job = *known[position];
        if (job.version > asking.revision) answer.cancelled.push_back({job.spec.id, job.version});
    }
    answer.logAt = position;
    answer.complete = position == known.size();
}

bool PeerExchange::applyCancellations(const PeerStatus& answer) {
    for (const auto& cancellation : answer.cancelled) noteCancelled_(cancellation);
    auto& view = peers_[answer.node];
    view.cancellationLogId = answer.log;
    view.cancellationLogPosition = answer.logAt;
    return !answer.cancelled.empty() && !answer.complete;
}

}  // namespace burlpoint::coordination
