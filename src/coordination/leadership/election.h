#pragma once

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

/// Who leads. `Election` owns what this node needs to win, hold and give up the leadership: its lease, its
/// fencing token, its leader lease and the votes of nodes that carry a leader through an outage.
namespace burlpoint::coordination {

/// Leadership by a key under a lease, with a fencing token from a counter that never goes back.
class Election {
  public:
    /// The replica is fresh and shows this node as leader under `fencingToken`.
    using LeadershipGained = std::function<void(std::uint64_t fencingToken)>;
    /// This node leads no more, and will not act under that fencing token again.
    using LeadershipLost = std::function<void()>;

    /// All of these must outlive this. `won` and `lost` are called in turn, from inside `tick` and `resign`
    /// or as an answer of the key-value store comes.
    Election(const protocol::Settings& settings, const protocol::Policy& policy,
             storage::KeyValueClient& state, bookkeeping::StateReplica& replica, StateWatcher& watcher,
             LeadershipGained leadershipGained, LeadershipLost leadershipLost);

    /// Takes the next step if one is due: renews the lease, or tries to lead where nobody does. To be called
    /// a few times a second.
    void tick(Time now);

    /// Gives leadership up at once; nothing happens if this node doesn't lead. `deferToPeers`: this node is
    /// badly placed to lead, so others go first.
    void resign(Time now, bool deferToPeers);

    /// May this node act as leader at this moment?
    bool valid(Time now) const {
        return leading_ && ((leaderLease_.valid(now) && now - watcher_.asOf() < maxTimeWithoutRead_) ||
                            extendedByVotes(now));
    }

    /// Does this leader know what was cancelled until a moment ago? Without that it starts nothing.
    bool cancellationsCurrent(Time now) const {
        return now - watcher_.asOf() < kCancellationFreshness || extendedByVotes(now);
    }

    /// How long a leader may act on its own, without an answer of the key-value store to anything but the
    /// renewal of its lease: then the workers' leases are over well within the time a cancellation has.
    static Duration maxTimeWithoutRead(const protocol::Settings& settings);

    /// A leader asks in an outage: how long will this node not try to lead? Zero unless its key was there
    /// when the key-value store last answered, which was a while ago. The answer that carries the grant must
    /// tell all cancellations that this node knows and the leader may not.
    Duration voteForExtension(const std::string& leader, std::uint64_t fencingToken, Time now);

    /// A peer's answer to that, once what came with it is taken in. Grants of all peers stand in for the
    /// lease while nobody is served. `sent`: when the question was sent.
    void noteVote(const std::string& peer, Duration life, Time sent) {
        votes_.noteReceived(peer, life, sent);
    }

    /// Does this node hold the leadership? It may still not be entitled to act, see `valid`.
    bool leading() const { return leading_; }

    /// A leader that the key-value store refuses has told its peers that it stopped: its key may be taken
    /// over.
    void noteResignation(std::uint64_t fencingToken) {
        resignedTokens_ = std::max(resignedTokens_, fencingToken);
    }

    /// The fencing token that this node led with last and gave up, 0: none.
    std::uint64_t resignedToken() const { return resignedToken_; }

  private:
    /// A read that old still tells a leader what was cancelled: see docs/safety.md, "What a leader may not
    /// know".
    static constexpr Duration kCancellationFreshness{1500};

    /// Do the votes of all peers stand in for the lease?
    bool extendedByVotes(Time now) const { return votes_.allInForce(settings_.peers, now); }
    /// Is there no leader whose key this node must respect? Draws the time before which it doesn't try when
    /// it first sees that.
    bool seesVacancy(Time now);
    /// Is this node bound by a grant, or perhaps by one that a former self gave before it ended?
    bool boundByVote(Time now) const;
    /// Does the leader's key bear this node's name?
    bool keyIsOwn() const { return replica_.leader && replica_.leader->node == settings_.name; }
    /// Has that leader given its fencing token up?
    bool hasResigned(const storage::LeaderRecord& leader) const {
        return leader.fencingToken <= resignedTokens_;
    }

    /// The first step of a try: makes a lease.
    void attempt(Time now);
    /// The second step: takes the key under the lease, which was asked for at `sent`, and raises the fencing
    /// token.
    void takeOver(std::uint64_t lease, Time sent);
    /// The third step: reads until the replica shows this node as the leader under `fencingToken`, then
    /// leads.
    void confirm(std::uint64_t fencingToken);
    /// Ends a try, and the lease unless that is 0. The next try comes after a read and a short pause.
    void fail(std::uint64_t lease);

    /// Asks for the lease to be extended. The leadership is lost only if the lease has ended.
    void renew(Time now);
    /// Leads no more: forgets what entitled it and tells the owner.
    void lose();

    const protocol::Settings& settings_;
    storage::KeyValueClient& state_;
    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    LeadershipGained onGained_;
    LeadershipLost onLost_;
    Duration life_;                // of the lease
    Duration maxTimeWithoutRead_;  // while it leads by its leader lease
    std::mt19937 random_;
    LeaderLease leaderLease_;
    LeaseVotes votes_;
    std::uint64_t lease_ = 0;           // of the leadership or of the try under way
    std::uint64_t fencingToken_ = 0;    // that this node leads with or led with last
    std::uint64_t resignedTokens_ = 0;  // fencing tokens up to here were given up by peers that led with them
    std::uint64_t resignedToken_ = 0;   // and this one by this node
    std::uint64_t round_ = 0;           // answers to requests of earlier rounds are ignored
    bool trying_ = false;               // a try is under way
    bool leading_ = false;
    bool renewing_ = false;  // a renewal is under way
    bool vacant_ = false;    // nobody leads, as far as is known here, and `notBefore_` was drawn
    Time notBefore_{};       // the next try
    Time nextRenewal_{};     // of the lease
    const Time started_;     // this process
};

}  // namespace burlpoint::coordination
