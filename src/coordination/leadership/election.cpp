#include "coordination/leadership/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace burlpoint::coordination {

using storage::LeaseStatus;
using storage::TransactionResult;
using storage::TransactionStatus;

namespace keys = storage::keys;

namespace {
constexpr Duration kUnserved{1200};         // without an answer of the key-value store: an outage
constexpr Duration kTakeOverTimeout{1500};  // of the transaction that takes the key
constexpr Duration kVacancySpread{250};     // nodes that see the key go at once try apart
constexpr Duration kFailurePause{300};      // before the next try, and as much again by lot
constexpr Duration kRenewalRetry{300};      // after a renewal that was refused or not answered
constexpr Duration kDeference{20'000};      // a node that is badly placed to lead leaves it to the others
constexpr int kRenewalsInALife = 6;         // so that several may fail
}  // namespace

Election::Election(const protocol::Settings& settings, const protocol::Policy& policy,
                   storage::KeyValueClient& state, bookkeeping::StateReplica& replica, StateWatcher& watcher,
                   LeadershipGained leadershipGained, LeadershipLost leadershipLost)
    : settings_(settings),
      state_(state),
      replica_(replica),
      watcher_(watcher),
      onGained_(std::move(leadershipGained)),
      onLost_(std::move(leadershipLost)),
      random_(std::random_device{}()),
      started_(Clock::now()) {
    // Half of the workers' lease at most: when a leader stands still, its workers wait for it, find the
    // successor among the others, and all of them must be answered in what is left of their leases. An outage
    // of the key-value store is spanned by the peers' votes.
    const auto wished = policy.leadership.count() > 0
                            ? policy.leadership
                            : std::clamp(settings.workerLease * 0.5, Seconds(2), Seconds(8));
    maxTimeWithoutRead_ = maxTimeWithoutRead(settings);
    life_ = std::min(std::chrono::duration_cast<Duration>(wished), maxTimeWithoutRead_);
}

Duration Election::maxTimeWithoutRead(const protocol::Settings& settings) {
    // A cancellation confirmed elsewhere must reach the leader, or the leases that it renewed last must be
    // over, within `cancel_s`. Half of what is left beside a lease; the rest is for clocks, for an answer on
    // its way and for a worker's next look at its lease.
    const auto half =
        std::chrono::duration_cast<Duration>((settings.cancelTimeout - settings.workerLease) / 2.0);
    return std::clamp(half, Duration(2000), Duration(10'000));
}

void Election::tick(Time now) {
    if (leading_) {
        if (replica_.fencingToken != fencingToken_) {
            spdlog::error("token {} has been raised to {}", fencingToken_, replica_.fencingToken);
            return lose();
        }
        if (now >= nextRenewal_ && !renewing_) renew(now);
        return;
    }
    if (trying_ || !watcher_.synced()) return;
    if (!seesVacancy(now) || boundByVote(now)) return;
    if (now >= notBefore_) attempt(now);
}

bool Election::seesVacancy(Time now) {
    const bool own = keyIsOwn();
    if (replica_.leader && !own && !hasResigned(*replica_.leader)) {
        vacant_ = false;
        return false;
    }
    if (vacant_) return true;
    // Nodes that see the key go at the same moment should not all try at once. Its own name on the key
    // tells a restarted node that its former self held it: that process is gone, so nobody else acts.
    vacant_ = true;
    const Duration spread(own ? 0 : std::uniform_int_distribution<>(0, kVacancySpread.count())(random_));
    notBefore_ = std::max(notBefore_, now + spread);
    return true;
}

bool Election::boundByVote(Time now) const {
    if (votes_.bound(now, resignedTokens_)) return true;
    // What a former self may have granted is forgotten; if its own name is on the key, that was the holder.
    return !keyIsOwn() && replica_.fencingToken > resignedTokens_ &&
           now < started_ + LeaseVotes::kForgottenLife;
}

Duration Election::voteForExtension(const std::string& leader, std::uint64_t fencingToken, Time now) {
    const bool known =
        replica_.leader && replica_.leader->node == leader && replica_.leader->fencingToken == fencingToken;
    if (!known || hasResigned(*replica_.leader) || leading_ || trying_ || !watcher_.synced())
        return Duration(0);
    if (now - state_.lastAnswer() < kUnserved) return Duration(0);
    // A transaction of an earlier try cannot come through late: this leader's key has changed its conditions.
    return votes_.giveVote(fencingToken, now);
}

void Election::attempt(Time now) {
    trying_ = true;
    const auto round = ++round_;
    state_.makeLease(life_, [this, round, sent = now](LeaseStatus status, std::uint64_t lease) {
        if (round != round_) return;
        if (status != LeaseStatus::active) return fail(0);
        takeOver(lease, sent);
    });
}

void Election::takeOver(std::uint64_t lease, Time sent) {
    // Another node may have won while the lease was being made. Its key is known by now, and a transaction
    // conditional on that very key would take the leadership from a leader whose lease goes on.
    if (replica_.leader && replica_.leader->node != settings_.name && !hasResigned(*replica_.leader))
        return fail(lease);
    const auto round = round_;
    const auto fencingToken = replica_.fencingToken + 1;
    const std::vector<protocol::KeyCondition> conditions{
        {keys::kLeader, replica_.leader ? replica_.leaderVersion : 0}, {keys::kToken, replica_.tokenVersion}};
    const std::vector<protocol::KeyWrite> writes{
        {keys::kLeader, storage::encodeLeader({settings_.name, fencingToken}), lease},
        {keys::kToken, storage::encodeToken(fencingToken), 0}};
    state_.transact(conditions, writes, kTakeOverTimeout,
                    [this, round, fencingToken, lease, sent](const TransactionResult& result) {
                        if (round != round_) return;
                        if (result.status != TransactionStatus::applied) return fail(lease);
                        lease_ = lease;
                        leaderLease_.begin(sent, life_);
                        confirm(fencingToken);
                    });
}

void Election::confirm(std::uint64_t fencingToken) {
    const auto round = round_;
    watcher_.readLatest([this, round, fencingToken](bool ok) {
        if (round != round_) return;
        const bool valid = leaderLease_.valid(Clock::now());
        if (!ok && valid) return confirm(fencingToken);
        if (!ok || !valid || replica_.fencingToken != fencingToken || !replica_.leader ||
            replica_.leader->fencingToken != fencingToken)
            return fail(lease_);
        trying_ = false;
        vacant_ = false;
        leading_ = true;
        fencingToken_ = fencingToken;
        renewing_ = false;
        nextRenewal_ = Clock::now();
        spdlog::info("leading with token {}", fencingToken);
        onGained_(fencingToken);
    });
}

void Election::fail(std::uint64_t lease) {
    if (lease) state_.endLease(lease);
    ++round_;
    notBefore_ = Clock::now() + kFailurePause +
                 Duration(std::uniform_int_distribution<>(0, kFailurePause.count())(random_));
    // Whoever won, or whether this try was carried out after all, is in the store.
    const auto round = round_;
    watcher_.readLatest([this, round](bool) {
        if (round == round_) trying_ = false;
    });
}

void Election::renew(Time now) {
    renewing_ = true;
    nextRenewal_ = now + life_ / kRenewalsInALife;
    const auto round = round_;
    state_.extendLease(lease_, [this, round, sent = now](LeaseStatus status, std::uint64_t) {
        if (round != round_) return;
        renewing_ = false;
        if (status == LeaseStatus::active) return leaderLease_.renewed(sent);
        if (status == LeaseStatus::expired) {
            spdlog::error("the leadership's lease has ended");
            return lose();
        }
        // Refused or unanswered: a later renewal that succeeds, after an outage say, resumes the leadership.
        nextRenewal_ = std::min(nextRenewal_, Clock::now() + kRenewalRetry);
    });
}

void Election::resign(Time now, bool deferToPeers) {
    if (!leading_) return;
    state_.endLease(lease_);
    lose();
    if (deferToPeers) notBefore_ = now + kDeference;
}

void Election::lose() {
    leaderLease_.end();
    votes_.dropReceived();
    resignedToken_ = fencingToken_;
    leading_ = false;
    vacant_ = false;
    ++round_;
    onLost_();
}

}  // namespace burlpoint::coordination
