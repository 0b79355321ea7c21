#include "coordination/leadership/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace burlpoint::coordination {

using storage::LeaseStatus;
using storage::TransactionResult;
using storage::TransactionStatus;

namespace keys = storage::keys;

namespace {
constexpr Duration kOutageAfter{1200};     // without an answer of the key-value store
constexpr Duration kAcquireTimeout{1500};  // of the transaction that writes the leader's key
constexpr Duration kVacancySpread{250};    // controllers that see the key disappear at once try apart
constexpr Duration kFailurePause{300};     // before the next attempt, and by chance up to as much again
constexpr Duration kRenewalRetry{300};     // after a renewal that was refused or not answered
constexpr Duration kDeference{20'000};     // for which a controller leaves the next attempts to its peers
constexpr int kRenewalsPerLife = 6;        // so that several may fail
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
    // At most half of the workers' lease: when a leader hangs, its workers wait for it, then look for its
    // successor, and all of them must be answered in what is left of their leases. A longer lease is not
    // needed for outages of the key-value store, in which the peers' votes extend it.
    const auto preferred = policy.leadership.count() > 0
                               ? policy.leadership
                               : std::clamp(settings.workerLease * 0.5, Seconds(2), Seconds(8));
    maxTimeWithoutRead_ = maxTimeWithoutRead(settings);
    life_ = std::min(std::chrono::duration_cast<Duration>(preferred), maxTimeWithoutRead_);
}

Duration Election::maxTimeWithoutRead(const protocol::Settings& settings) {
    // Within the cancel timeout, a cancellation that another controller confirmed must reach the leader, or
    // the worker leases that the leader renewed last must be over. This is half of what the timeout leaves
    // beside a worker lease. The rest is for clock drift, for an answer on its way and for the worker's next
    // check of its lease.
    const auto half =
        std::chrono::duration_cast<Duration>((settings.cancelTimeout - settings.workerLease) / 2.0);
    return std::clamp(half, Duration(2000), Duration(10'000));
}

void Election::tick(Time now) {
    switch (role_) {
        case Role::leader:
            if (replica_.fencingToken != fencingToken_) {
                spdlog::error("fencing token raised by another controller own={} stored={}", fencingToken_,
                              replica_.fencingToken);
                return lose();
            }
            if (now >= nextRenewal_ && !renewalUnderWay_) renew(now);
            return;
        case Role::candidate:
            return;
        case Role::follower:
        case Role::vacancy:
            if (!watcher_.synced() || !seesVacancy(now) || isBoundByVote(now)) return;
            if (now >= notBefore_) attempt(now);
            return;
    }
}

bool Election::seesVacancy(Time now) {
    const bool own = isNamedLeader();
    if (replica_.leader && !own && !hasResigned(*replica_.leader)) {
        role_ = Role::follower;
        return false;
    }
    if (role_ == Role::vacancy) return true;
    // Controllers that see the key disappear at the same moment should not all try at once. If the key names
    // this controller, an earlier process of it held the key. That process is gone, and as all others still
    // respect the key, no spread is needed.
    role_ = Role::vacancy;
    const Duration spread = own ? Duration(0) : drawUpTo(kVacancySpread);
    notBefore_ = std::max(notBefore_, now + spread);
    return true;
}

bool Election::isBoundByVote(Time now) const {
    if (votes_.isBound(now, resignedTokens_)) return true;
    // An earlier process of this controller may have voted, which this one can't know. It hasn't if the key
    // names this controller: then that process led itself.
    return !isNamedLeader() && replica_.fencingToken > resignedTokens_ &&
           now < started_ + LeaseVotes::kUnknownVoteLife;
}

Duration Election::voteForExtension(const std::string& leader, std::uint64_t fencingToken, Time now) {
    const bool known =
        replica_.leader && replica_.leader->node == leader && replica_.leader->fencingToken == fencingToken;
    if (!known || hasResigned(*replica_.leader)) return Duration(0);
    if (role_ == Role::leader || role_ == Role::candidate || !watcher_.synced()) return Duration(0);
    if (now - state_.lastAnswer() < kOutageAfter) return Duration(0);
    // A transaction of an earlier attempt of this controller can't succeed late: its conditions don't hold
    // any more, as this leader's key was written since.
    return votes_.giveVote(fencingToken, now);
}

void Election::attempt(Time now) {
    role_ = Role::candidate;
    const auto round = ++round_;
    state_.makeLease(life_, [this, round, sent = now](LeaseStatus status, std::uint64_t lease) {
        if (round != round_) return;
        if (status != LeaseStatus::active) return fail(0);
        acquire(lease, sent);
    });
}

void Election::acquire(std::uint64_t lease, Time sent) {
    // Another controller may have won while the lease was being made. Its key is then in the replica, and a
    // transaction conditional on that key would depose a leader whose lease lasts.
    if (replica_.leader && !isNamedLeader() && !hasResigned(*replica_.leader)) return fail(lease);
    const auto round = round_;
    const auto fencingToken = replica_.fencingToken + 1;
    const std::vector<protocol::KeyCondition> conditions{
        {keys::kLeader, replica_.leader ? replica_.leaderVersion : 0}, {keys::kToken, replica_.tokenVersion}};
    const std::vector<protocol::KeyWrite> writes{
        {keys::kLeader, storage::encodeLeader({settings_.name, fencingToken}), lease},
        {keys::kToken, storage::encodeToken(fencingToken), 0}};
    state_.transact(conditions, writes, kAcquireTimeout,
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
    watcher_.readLatest([this, round, fencingToken](FreshRead read) {
        if (round != round_) return;
        if (!leaderLease_.valid(Clock::now())) return fail(lease_);
        if (read == FreshRead::failed) return confirm(fencingToken);
        if (!isConfirmed(fencingToken)) return fail(lease_);
        lead(fencingToken);
    });
}

bool Election::isConfirmed(std::uint64_t fencingToken) const {
    return replica_.fencingToken == fencingToken && replica_.leader &&
           replica_.leader->fencingToken == fencingToken;
}

void Election::lead(std::uint64_t fencingToken) {
    role_ = Role::leader;
    fencingToken_ = fencingToken;
    renewalUnderWay_ = false;
    nextRenewal_ = Clock::now();
    spdlog::info("leadership gained token={}", fencingToken);
    onGained_(fencingToken);
}

void Election::fail(std::uint64_t lease) {
    if (lease) state_.endLease(lease);
    ++round_;
    notBefore_ = Clock::now() + kFailurePause + drawUpTo(kFailurePause);
    // Only a read tells who won, or whether the transaction of this attempt was executed after all.
    const auto round = round_;
    watcher_.readLatest([this, round](FreshRead) {
        if (round == round_) role_ = Role::vacancy;
    });
}

void Election::renew(Time now) {
    renewalUnderWay_ = true;
    nextRenewal_ = now + life_ / kRenewalsPerLife;
    const auto round = round_;
    state_.extendLease(lease_, [this, round, sent = now](LeaseStatus status, std::uint64_t) {
        if (round != round_) return;
        renewalUnderWay_ = false;
        if (status == LeaseStatus::active) return leaderLease_.renewed(sent);
        if (status == LeaseStatus::expired) {
            spdlog::error("leadership lease ended in the key-value store token={}", fencingToken_);
            return lose();
        }
        // Refused or unanswered. A later renewal that succeeds, such as after an outage, makes the leadership
        // valid again.
        nextRenewal_ = std::min(nextRenewal_, Clock::now() + kRenewalRetry);
    });
}

void Election::resign(Time now, Resignation resignation) {
    if (!leading()) return;
    state_.endLease(lease_);
    lose();
    if (resignation == Resignation::deferToPeers) notBefore_ = now + kDeference;
}

void Election::lose() {
    leaderLease_.end();
    votes_.forgetReceived();
    resignedToken_ = fencingToken_;
    role_ = Role::follower;
    ++round_;
    onLost_();
}

Duration Election::drawUpTo(Duration bound) {
    return Duration(std::uniform_int_distribution<>(0, static_cast<int>(bound.count()))(random_));
}

}  // namespace burlpoint::coordination
