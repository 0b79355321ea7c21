#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "bookkeeping/state_replica.h"
#include "coordination/leadership_grants.h"
#include "coordination/state_watcher.h"
#include "coordination/tenure.h"
#include "protocol/settings.h"
#include "storage/store.h"

/// Who leads. `Election` owns what this node needs to win, hold and give up the leadership: its lease, its
/// token, its tenure and the grants of nodes that carry a leader through an outage.
namespace burlpoint::coordination {

/// Leadership by a key under a lease, with a token from a counter that never goes back.
class Election {
  public:
    /// The replica is fresh and shows this node as leader under `token`.
    using Won = std::function<void(std::uint64_t token)>;
    /// This node leads no more, and will not act under that token again.
    using Lost = std::function<void()>;

    /// All of these must outlive this. `won` and `lost` are called in turn, from inside `tick` and `resign`
    /// or as an answer of the state service comes.
    Election(const protocol::Settings& settings, const protocol::Policy& policy, storage::StateClient& state,
             bookkeeping::StateReplica& replica, StateWatcher& watcher, Won won, Lost lost);

    /// Takes the next step if one is due: renews the lease, or tries to lead where nobody does. To be called
    /// a few times a second.
    void tick(transport::Time now);

    /// Gives leadership up at once; nothing happens if this node doesn't lead. `deferToPeers`: this node is
    /// badly placed to lead, so others go first.
    void resign(transport::Time now, bool deferToPeers);

    /// May this node act as leader at this moment?
    bool valid(transport::Time now) const {
        return leading_ &&
               ((tenure_.valid(now) && now - watcher_.asOf() < maxTimeWithoutRead_) || extendedByGrants(now));
    }

    /// Does this leader know what was cancelled until a moment ago? Without that it starts nothing.
    bool cancellationsCurrent(transport::Time now) const {
        return now - watcher_.asOf() < kCancellationFreshness || extendedByGrants(now);
    }

    /// How long a leader may act on its own, without an answer of the state service to anything but the
    /// renewal of its lease: then the workers' leases are over well within the time a cancellation has.
    static transport::Duration maxTimeWithoutRead(const protocol::Settings& settings);

    /// A leader asks in an outage: how long will this node not try to lead? Zero unless its key was there
    /// when the state service last answered, which was a while ago. The answer that carries the grant must
    /// tell all cancellations that this node knows and the leader may not.
    transport::Duration grantExtension(const std::string& leader, std::uint64_t token, transport::Time now);

    /// A peer's answer to that, once what came with it is taken in. Grants of all peers stand in for the
    /// lease while nobody is served. `sent`: when the question was sent.
    void noteGrant(const std::string& peer, transport::Duration life, transport::Time sent) {
        grants_.noteReceived(peer, life, sent);
    }

    /// Does this node hold the leadership? It may still not be entitled to act, see `valid`.
    bool leading() const { return leading_; }

    /// A leader that the state service refuses has told its peers that it stopped: its key may be taken over.
    void noteResignation(std::uint64_t token) { resignedTokens_ = std::max(resignedTokens_, token); }

    /// The token that this node led with last and gave up, 0: none.
    std::uint64_t resignedToken() const { return resignedToken_; }

  private:
    /// A read that old still tells a leader what was cancelled: see docs/safety.md, "What a leader may not
    /// know".
    static constexpr transport::Duration kCancellationFreshness{1500};

    /// Do the grants of all peers stand in for the lease?
    bool extendedByGrants(transport::Time now) const { return grants_.allInForce(settings_.peers, now); }
    /// Is there no leader whose key this node must respect? Draws the time before which it doesn't try when
    /// it first sees that.
    bool seesVacancy(transport::Time now);
    /// Is this node bound by a grant, or perhaps by one that a former self gave before it ended?
    bool boundByGrant(transport::Time now) const;
    /// Does the leader's key bear this node's name?
    bool keyIsOwn() const { return replica_.leader && replica_.leader->node == settings_.name; }
    /// Has that leader given its token up?
    bool hasResigned(const storage::LeaderRecord& leader) const { return leader.token <= resignedTokens_; }

    /// The first step of a try: makes a lease.
    void attempt(transport::Time now);
    /// The second step: takes the key under the lease, which was asked for at `sent`, and raises the token.
    void takeOver(std::uint64_t lease, transport::Time sent);
    /// The third step: reads until the replica shows this node as the leader under `token`, then leads.
    void confirm(std::uint64_t token);
    /// Ends a try, and the lease unless that is 0. The next try comes after a read and a short pause.
    void fail(std::uint64_t lease);

    /// Asks for the lease to be extended. The leadership is lost only if the lease has ended.
    void renew(transport::Time now);
    /// Leads no more: forgets what entitled it and tells the owner.
    void lose();

    const protocol::Settings& settings_;
    storage::StateClient& state_;
    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    Won won_;
    Lost lost_;
    transport::Duration life_;                // of the lease
    transport::Duration maxTimeWithoutRead_;  // while it leads by its tenure
    std::mt19937 random_;
    Tenure tenure_;
    LeadershipGrants grants_;
    std::uint64_t lease_ = 0;           // of the leadership or of the try under way
    std::uint64_t token_ = 0;           // that this node leads with or led with last
    std::uint64_t resignedTokens_ = 0;  // tokens up to here were given up by peers that led with them
    std::uint64_t resignedToken_ = 0;   // and this one by this node
    std::uint64_t round_ = 0;           // answers to requests of earlier rounds are ignored
    bool trying_ = false;               // a try is under way
    bool leading_ = false;
    bool renewing_ = false;          // a renewal is under way
    bool vacant_ = false;            // nobody leads, as far as is known here, and `notBefore_` was drawn
    transport::Time notBefore_{};    // the next try
    transport::Time nextRenewal_{};  // of the lease
    const transport::Time started_;  // this process
};

}  // namespace burlpoint::coordination
