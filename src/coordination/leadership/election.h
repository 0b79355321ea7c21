#pragma once

// Leader election. A controller becomes leader by writing the leader's key to the key-value store under a
// lease, together with a raised fencing token. Owns this controller's role, its lease, its fencing token, its
// leader lease, and the votes that extend a leader's lease in an outage of the key-value store. Used on the
// event loop's thread.

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

/// This controller's part in the election. An attempt to become leader has three steps: make a lease, acquire
/// the leader's key under it, and confirm by a read that the key is held.
class Election {
  public:
    /// This controller is leader with `fencingToken`, and the replica is up to date and shows that.
    using LeadershipGained = std::function<void(std::uint64_t fencingToken)>;
    /// This controller leads no more, and will not act with that fencing token again.
    using LeadershipLost = std::function<void()>;

    /// What a leader that resigns does next.
    enum class Resignation {
        mayTryAgain,  // it is a candidate like the others
        deferToPeers  // it is badly placed to lead, so it leaves the next attempts to its peers
    };

    /// All references must outlive this. The two callbacks are called in turn, from inside `tick` and
    /// `resign` or when an answer of the key-value store arrives.
    Election(const protocol::Settings& settings, const protocol::Policy& policy,
             storage::KeyValueClient& state, bookkeeping::StateReplica& replica, StateWatcher& watcher,
             LeadershipGained leadershipGained, LeadershipLost leadershipLost);

    /// Takes the next step if one is due: renews the lease, or tries to become leader if there is none. To be
    /// called a few times a second.
    void tick(Time now);

    /// Ends this controller's leadership at once. Does nothing if it does not lead.
    void resign(Time now, Resignation resignation);

    /// May this controller act as leader at this moment?
    bool valid(Time now) const {
        return leading() && ((leaderLease_.valid(now) && now - watcher_.asOf() < maxTimeWithoutRead_) ||
                             extendedByVotes(now));
    }

    /// Does this leader know all cancellations up to a moment ago? If not, it must not start anything.
    bool cancellationsCurrent(Time now) const {
        return now - watcher_.asOf() < kCancellationFreshness || extendedByVotes(now);
    }

    /// How long a leader may act while the key-value store answers nothing but the renewal of its lease. The
    /// workers' leases are then over within the time that a cancellation may take.
    static Duration maxTimeWithoutRead(const protocol::Settings& settings);

    /// In an outage, a leader asks for this controller's vote. Returns for how long this controller promises
    /// not to become leader. Zero, no vote, unless the leader's key was there when the key-value store last
    /// answered, and that was a while ago. The message that carries the vote must also carry all
    /// cancellations that are known here and may not be known to the leader.
    Duration voteForExtension(const std::string& leader, std::uint64_t fencingToken, Time now);

    /// A peer voted, in answer to a request sent at `sent`, for `life`. To be called once the cancellations
    /// in the same message are taken in. Votes of all peers replace the lease in an outage.
    void noteVote(const std::string& peer, Duration life, Time sent) {
        votes_.noteReceived(peer, life, sent);
    }

    /// Is this controller the leader? That alone doesn't entitle it to act, see `valid`.
    bool leading() const { return role_ == Role::leader; }

    /// A leader told its peers that it resigned, as one does that the key-value store refuses. Its key may be
    /// replaced although its lease has not ended.
    void noteResignation(std::uint64_t fencingToken) {
        resignedTokens_ = std::max(resignedTokens_, fencingToken);
    }

    /// The fencing token that this controller led with last and resigned, 0: none.
    std::uint64_t resignedToken() const { return resignedToken_; }

  private:
    enum class Role {
        follower,   // another controller leads, or it is not known yet that none does
        vacancy,    // nobody leads, and `notBefore_` was drawn for this vacancy
        candidate,  // an attempt is under way, or the read after one that failed
        leader
    };

    /// A read that is no older than this tells a leader what was cancelled: see docs/safety.md, "What a
    /// leader may not know".
    static constexpr Duration kCancellationFreshness{1500};

    /// Do the votes of all peers extend the leader lease?
    bool extendedByVotes(Time now) const { return votes_.allInForce(settings_.peers, now); }
    /// Is there no leader whose key this controller must respect? When it first sees that, it draws the time
    /// before which it doesn't try.
    bool seesVacancy(Time now);
    /// Is this controller bound by its vote, or perhaps by one that it gave before it was restarted?
    bool isBoundByVote(Time now) const;
    /// Does the leader's key name this controller?
    bool isNamedLeader() const { return replica_.leader && replica_.leader->node == settings_.name; }
    /// Has that leader resigned?
    bool hasResigned(const storage::LeaderRecord& leader) const {
        return leader.fencingToken <= resignedTokens_;
    }

    /// First step of an attempt: makes a lease.
    void attempt(Time now);
    /// Second step: writes the leader's key under `lease`, which was requested at `sent`, and raises the
    /// fencing token.
    void acquire(std::uint64_t lease, Time sent);
    /// Third step: reads until the replica shows whether this controller is leader with `fencingToken`.
    void confirm(std::uint64_t fencingToken);
    /// Does the replica show this controller's key and `fencingToken`?
    bool isConfirmed(std::uint64_t fencingToken) const;
    /// The attempt succeeded.
    void lead(std::uint64_t fencingToken);
    /// The attempt failed. Ends its lease unless that is 0. The next attempt comes after a read and a pause.
    void fail(std::uint64_t lease);

    /// Renews the lease. The leadership is lost only if the lease has ended.
    void renew(Time now);
    /// Stops leading: drops everything that entitled this controller and tells the owner.
    void lose();

    /// At most `bound`, by chance.
    Duration drawUpTo(Duration bound);

    const protocol::Settings& settings_;
    storage::KeyValueClient& state_;
    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    LeadershipGained onGained_;
    LeadershipLost onLost_;
    Duration life_;                // of the lease
    Duration maxTimeWithoutRead_;  // of a leader with a valid leader lease
    std::mt19937 random_;
    LeaderLease leaderLease_;
    LeaseVotes votes_;
    Role role_ = Role::follower;
    std::uint64_t lease_ = 0;           // of the leadership or of the attempt under way
    std::uint64_t fencingToken_ = 0;    // that this controller leads with or led with last
    std::uint64_t resignedTokens_ = 0;  // all fencing tokens up to here were resigned by the peers that led
    std::uint64_t resignedToken_ = 0;   // and this one by this controller
    std::uint64_t round_ = 0;           // answers to requests of earlier rounds are ignored
    bool renewalUnderWay_ = false;      // of a leader
    Time notBefore_{};                  // the next attempt
    Time nextRenewal_{};                // of the lease
    const Time started_;                // this process
};

}  // namespace burlpoint::coordination
