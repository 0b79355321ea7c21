#pragma once

// Leader election. A controller becomes leader by writing the leader's key to the key-value store under a
// lease, together with an incremented fencing token. Owns this controller's role, its lease, its fencing
// token, its leader lease, and the votes that extend a leader's lease in an outage of the key-value store.
// Used on the event loop's thread.

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "coordination/leadership/leader_lease.h"
#include "coordination/leadership/lease_votes.h"
#include "coordination/state/state_watcher.h"
#include "protocol/policy.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"

namespace burlpoint::coordination {

/// This controller's participation in the election. An attempt to become leader has three steps: create a
/// lease, acquire the leader's key under it, and confirm by a read that this controller holds the key.
class Election {
  public:
    /// Called when this controller has become leader with `fencingToken` and the replica shows it.
    using LeadershipGained = std::function<void(std::uint64_t fencingToken)>;
    /// Called when this controller has stopped leading. It never acts with that fencing token again.
    using LeadershipLost = std::function<void()>;

    /// What a leader does after it has resigned.
    enum class Resignation {
        mayTryAgain,  // it may become a candidate again at once
        deferToPeers  // the cause is likely its own host or network, so it starts no attempt for 20 s
    };

    /// All referenced objects must outlive this one. The two callbacks are called alternately, from `tick`
    /// and `resign` or when a response of the key-value store arrives.
    Election(const protocol::Settings& settings, const protocol::Policy& policy,
             storage::KeyValueClient& store, bookkeeping::StateReplica& replica, StateWatcher& watcher,
             LeadershipGained leadershipGained, LeadershipLost leadershipLost);

    /// Performs the action that is due, if any: renews the lease of a leader, or starts an attempt to become
    /// leader if there is none. Must be called a few times a second.
    void tick(Time now);

    /// Ends this controller's leadership at once. Does nothing if it does not lead.
    void resign(Time now, Resignation resignation);

    /// True if this controller may act as leader at `now`.
    bool valid(Time now) const {
        return isLeader() &&
               ((leaderLease_.valid(now) && now - watcher_.currentAsOf() < maxTimeWithoutRead_) ||
                extendedByVotes(now));
    }

    /// True if this leader knows the recent cancellations: its last successful read was sent less than 1.5 s
    /// before `now`, or the votes of all peers are in force, which arrive with the cancellations that the
    /// peers know. If false, the leader must not start any task.
    bool cancellationsCurrent(Time now) const {
        return now - watcher_.currentAsOf() < kCancellationFreshness || extendedByVotes(now);
    }

    /// How long a leader may act without a successful read of the key-value store while only the renewals of
    /// its lease succeed: between 2 s and 10 s, depending on the settings. With this limit, the workers'
    /// leases expire within the cancel timeout, provided that it exceeds a worker's lease by more than 2 s.
    static Duration maxTimeWithoutRead(const protocol::Settings& settings);

    /// Handles a leader's request for a vote during an outage of the key-value store. Returns for how long
    /// this controller promises not to become leader. Returns zero, which means no vote, unless the leader's
    /// key existed when the key-value store last answered and that answer is at least 1.2 s old. The message
    /// that carries the vote must also carry all cancellations that are known here and may be unknown to the
    /// leader.
    Duration voteForExtension(const std::string& leader, std::uint64_t fencingToken, Time now);

    /// Records a peer's vote for `duration`, given in response to a request sent at `sent`. Must be called
    /// after the cancellations in the same message have been applied. In an outage, votes of all peers stand
    /// in for the renewal of the lease.
    void recordVote(const std::string& peer, Duration duration, Time sent) {
        votes_.recordReceivedVote(peer, duration, sent);
    }

    /// True if this controller has the leader role. To act it also needs an unexpired lease, see `valid`.
    bool isLeader() const { return role_ == Role::leader; }

    /// Records that the leader with `fencingToken` has resigned, as its status message to this controller
    /// says. Its key may then be replaced even if its lease in the key-value store has not expired, as
    /// happens if the store refused the request to revoke the lease.
    void recordResignation(std::uint64_t fencingToken) {
        maxResignedToken_ = std::max(maxResignedToken_, fencingToken);
    }

    /// The fencing token of the last leadership of this process that has ended, 0 if there is none.
    std::uint64_t resignedToken() const { return resignedToken_; }

  private:
    enum class Role {
        follower,   // another controller leads, or this one does not know yet that there is no leader
        vacancy,    // there is no leader, and `earliestAttempt_` has been set for this vacancy
        candidate,  // an attempt is in progress, or the read that follows a failed one
        leader
    };

    /// The maximum age of the last read at which a leader may rely on its knowledge of cancellations: see
    /// docs/safety.md, "What a leader may not know".
    static constexpr Duration kCancellationFreshness{1500};

    /// True if the votes of all peers extend the leader lease.
    bool extendedByVotes(Time now) const { return votes_.allInForce(settings_.peers, now); }
    /// True if there is no leader whose key this controller must respect. Updates the role, and at the start
    /// of a vacancy sets the earliest time of the next attempt.
    bool detectVacancy(Time now);
    /// True if this controller is bound by its vote or may be bound by one from before its restart.
    bool isBoundByVote(Time now) const;
    /// True if the leader's key names this controller.
    bool isNamedLeader() const { return replica_.leader && replica_.leader->node == settings_.name; }
    /// True if the controller named in `leader` is known to have resigned that leadership.
    bool hasResigned(const storage::LeaderRecord& leader) const {
        return leader.fencingToken <= maxResignedToken_;
    }

    /// First step of an attempt: creates a lease.
    void startAttempt(Time now);
    /// Second step: writes the leader's key under `lease`, which was requested at `sent`, and increments the
    /// fencing token.
    void acquireLeaderKey(std::uint64_t lease, Time sent);
    /// Third step: repeats a read until the replica shows whether this controller is leader with
    /// `fencingToken`.
    void confirmLeadership(std::uint64_t fencingToken);
    /// True if the replica shows `fencingToken` both as the current one and in the leader's key.
    bool isConfirmed(std::uint64_t fencingToken) const;
    /// Completes a successful attempt.
    void becomeLeader(std::uint64_t fencingToken);
    /// Ends a failed attempt and revokes its lease unless `lease` is 0. The next attempt may start after a
    /// read and a randomized backoff.
    void failAttempt(std::uint64_t lease);

    /// Renews the lease. A failed renewal ends the leadership only if the key-value store reports the lease
    /// as expired.
    void renewLease(Time now);
    /// Stops leading: ends the leader lease, discards the received votes and calls the owner's callback.
    void stopLeading();

    /// A uniformly distributed random duration from zero to `bound`.
    Duration randomUpTo(Duration bound);

    const protocol::Settings& settings_;
    storage::KeyValueClient& store_;
    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    LeadershipGained onGained_;
    LeadershipLost onLost_;
    Duration leaseDuration_;       // time to live of the lease in the key-value store
    Duration maxTimeWithoutRead_;  // how long a leader with a valid leader lease may act without a read
    std::mt19937 random_;
    LeaderLease leaderLease_;
    LeaseVotes votes_;
    Role role_ = Role::follower;
    std::uint64_t lease_ = 0;             // id of the lease of the leadership or of the current attempt
    std::uint64_t fencingToken_ = 0;      // of the current or the last leadership of this controller
    std::uint64_t maxResignedToken_ = 0;  // leaders with fencing tokens up to this one have resigned
    std::uint64_t resignedToken_ = 0;     // fencing token of this controller's last ended leadership
    std::uint64_t round_ = 0;             // responses to requests of earlier rounds are ignored
    bool renewalPending_ = false;         // a renewal of the lease has been sent and not answered
    Time earliestAttempt_{};              // earliest start of the next attempt
    Time nextRenewal_{};                  // when the next renewal of the lease is due
    const Time processStartedAt_;         // when this process started
};

}  // namespace burlpoint::coordination
