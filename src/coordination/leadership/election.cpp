#include "coordination/leadership/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace burlpoint::coordination {

using storage::LeaseStatus;
using storage::TransactionResult;
using storage::TransactionStatus;

namespace keys = storage::keys;

namespace {
// A controller treats the key-value store as being in an outage once it has had no answer from the store for
// this long.
constexpr Duration kOutageAfter{1200};
// Timeout of the transaction that writes the leader's key.
constexpr Duration kAcquireTimeout{1500};
// Maximum random delay before an attempt, so that controllers that see the key disappear at the same moment
// do not all try at once.
constexpr Duration kMaxAttemptJitter{250};
// Backoff after a failed attempt. A random delay of up to the same length is added to it.
constexpr Duration kAttemptBackoff{300};
// Delay before the retry of a renewal that was refused or not answered.
constexpr Duration kRenewalRetryDelay{300};
// How long a controller that defers to its peers starts no attempt.
constexpr Duration kDeferralTime{20'000};
// The renewal interval is the lease's time to live divided by this, so that the lease outlasts several failed
// renewals in a row.
constexpr int kRenewalsPerLease = 6;
}  // namespace

Election::Election(const protocol::Settings& settings, const protocol::Policy& policy,
                   storage::KeyValueClient& store, bookkeeping::StateReplica& replica, StateWatcher& watcher,
                   LeadershipGained leadershipGained, LeadershipLost leadershipLost)
    : settings_(settings),
      store_(store),
      replica_(replica),
      watcher_(watcher),
      onGained_(std::move(leadershipGained)),
      onLost_(std::move(leadershipLost)),
      random_(std::random_device{}()),
      processStartedAt_(Clock::now()) {
    // The default is half of a worker's lease, but at least 2 s and at most 8 s: when a leader hangs, its
    // workers first wait for it and then look for its successor, which must answer all of them before their
    // leases expire. A longer leader lease is not needed for outages of the key-value store, in which the
    // peers' votes extend it.
    const auto preferred = policy.leaderLease.count() > 0
                               ? policy.leaderLease
                               : std::clamp(settings.workerLease * 0.5, Seconds(2), Seconds(8));
    maxTimeWithoutRead_ = maxTimeWithoutRead(settings);
    leaseDuration_ = std::min(std::chrono::duration_cast<Duration>(preferred), maxTimeWithoutRead_);
}

Duration Election::maxTimeWithoutRead(const protocol::Settings& settings) {
    // Within the cancel timeout, either a cancellation that another controller confirmed must reach the
    // leader, or the worker leases that the leader renewed last must have expired. This limit is half of the
    // difference between the timeout and a worker lease. The other half covers clock drift, a response in
    // transit and the delay until the worker next checks its lease.
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
                return stopLeading();
            }
            if (now >= nextRenewal_ && !renewalPending_) renewLease(now);
            return;
        case Role::candidate:
            return;
        case Role::follower:
        case Role::vacancy:
            if (!watcher_.synced() || !detectVacancy(now) || isBoundByVote(now)) return;
            if (now >= earliestAttempt_) startAttempt(now);
            return;
    }
}

bool Election::detectVacancy(Time now) {
    const bool namesThisController = isNamedLeader();
    if (replica_.leader && !namesThisController && !hasResigned(*replica_.leader)) {
        role_ = Role::follower;
        return false;
    }
    if (role_ == Role::vacancy) return true;
    // The random delay spreads the attempts of controllers that see the leader's key disappear at the same
    // moment. No delay is needed if the key names this controller: an earlier leadership of this controller
    // wrote it and has ended. If that was in an earlier process, all other controllers still respect the key.
    role_ = Role::vacancy;
    const Duration jitter = namesThisController ? Duration(0) : randomUpTo(kMaxAttemptJitter);
    earliestAttempt_ = std::max(earliestAttempt_, now + jitter);
    return true;
}

bool Election::isBoundByVote(Time now) const {
    if (votes_.isBound(now, maxResignedToken_)) return true;
    // An earlier process of this controller may have voted, and as votes are not stored, this process cannot
    // know. If the leader's key names this controller, there was no such vote, because the earlier process
    // was the leader itself.
    return !isNamedLeader() && replica_.fencingToken > maxResignedToken_ &&
           now < processStartedAt_ + LeaseVotes::kUnknownVoteDuration;
}

Duration Election::voteForExtension(const std::string& leader, std::uint64_t fencingToken, Time now) {
    const bool known =
        replica_.leader && replica_.leader->node == leader && replica_.leader->fencingToken == fencingToken;
    if (!known || hasResigned(*replica_.leader)) return Duration(0);
    if (role_ == Role::leader || role_ == Role::candidate || !watcher_.synced()) return Duration(0);
    if (now - store_.lastAnswerAt() < kOutageAfter) return Duration(0);
    // A delayed transaction of an earlier attempt of this controller can no longer succeed: its conditions
    // do not hold, as this leader's key has been written since.
    return votes_.giveVote(fencingToken, now);
}

void Election::startAttempt(Time now) {
    role_ = Role::candidate;
    const auto round = ++round_;
    store_.createLease(leaseDuration_, [this, round, sent = now](LeaseStatus status, std::uint64_t lease) {
        if (round != round_) return;
        if (status != LeaseStatus::active) return failAttempt(0);
        acquireLeaderKey(lease, sent);
    });
}

void Election::acquireLeaderKey(std::uint64_t lease, Time sent) {
    // Another controller may have won while the lease was being created. Its key is then in the replica, and
    // a transaction conditional on that key's version would depose a leader whose lease is still valid.
    if (replica_.leader && !isNamedLeader() && !hasResigned(*replica_.leader)) return failAttempt(lease);
    const auto round = round_;
    const auto fencingToken = replica_.fencingToken + 1;
    const std::vector<protocol::KeyCondition> conditions{
        {keys::kLeader, replica_.leader ? replica_.leaderVersion : 0}, {keys::kToken, replica_.tokenVersion}};
    const std::vector<protocol::KeyWrite> writes{
        {keys::kLeader, storage::encodeLeader({settings_.name, fencingToken}), lease},
        {keys::kToken, storage::encodeToken(fencingToken), 0}};
    store_.transact(conditions, writes, kAcquireTimeout,
                    [this, round, fencingToken, lease, sent](const TransactionResult& result) {
                        if (round != round_) return;
                        if (result.status != TransactionStatus::applied) return failAttempt(lease);
                        lease_ = lease;
                        leaderLease_.begin(sent, leaseDuration_);
                        confirmLeadership(fencingToken);
                    });
}

void Election::confirmLeadership(std::uint64_t fencingToken) {
    const auto round = round_;
    watcher_.readLatest([this, round, fencingToken](FreshReadResult read) {
        if (round != round_) return;
        if (!leaderLease_.valid(Clock::now())) return failAttempt(lease_);
        if (read == FreshReadResult::failed) return confirmLeadership(fencingToken);
        if (!isConfirmed(fencingToken)) return failAttempt(lease_);
        becomeLeader(fencingToken);
    });
}

bool Election::isConfirmed(std::uint64_t fencingToken) const {
    return replica_.fencingToken == fencingToken && replica_.leader &&
           replica_.leader->fencingToken == fencingToken;
}

void Election::becomeLeader(std::uint64_t fencingToken) {
    role_ = Role::leader;
    fencingToken_ = fencingToken;
    renewalPending_ = false;
    nextRenewal_ = Clock::now();
    spdlog::info("leadership gained token={}", fencingToken);
    onGained_(fencingToken);
}

void Election::failAttempt(std::uint64_t lease) {
    if (lease) store_.revokeLease(lease);
    ++round_;
    earliestAttempt_ = Clock::now() + kAttemptBackoff + randomUpTo(kAttemptBackoff);
    // Only a read shows which controller became leader, or whether the transaction of this attempt was
    // executed despite an error.
    const auto round = round_;
    watcher_.readLatest([this, round](FreshReadResult) {
        if (round == round_) role_ = Role::vacancy;
    });
}

void Election::renewLease(Time now) {
    renewalPending_ = true;
    nextRenewal_ = now + leaseDuration_ / kRenewalsPerLease;
    const auto round = round_;
    store_.extendLease(lease_, [this, round, sent = now](LeaseStatus status, std::uint64_t) {
        if (round != round_) return;
        renewalPending_ = false;
        if (status == LeaseStatus::active) return leaderLease_.extend(sent);
        if (status == LeaseStatus::expired) {
            spdlog::error("leadership lease ended in the key-value store token={}", fencingToken_);
            return stopLeading();
        }
        // The renewal was refused or not answered. A later renewal that succeeds, such as after an outage,
        // makes the leadership valid again.
        nextRenewal_ = std::min(nextRenewal_, Clock::now() + kRenewalRetryDelay);
    });
}

void Election::resign(Time now, Resignation resignation) {
    if (!isLeader()) return;
    store_.revokeLease(lease_);
    stopLeading();
    if (resignation == Resignation::deferToPeers) earliestAttempt_ = now + kDeferralTime;
}

void Election::stopLeading() {
    leaderLease_.end();
    votes_.discardReceived();
    resignedToken_ = fencingToken_;
    role_ = Role::follower;
    ++round_;
    onLost_();
}

Duration Election::randomUpTo(Duration bound) {
    return Duration(std::uniform_int_distribution<>(0, static_cast<int>(bound.count()))(random_));
}

}  // namespace burlpoint::coordination
