#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>

#include "bookkeeping/jobs.h"
#include "coordination/state_watcher.h"
#include "protocol/settings.h"
#include "storage/store.h"

namespace burlpoint::coordination {

/// How long this node may act as leader: counted from when the last successful renewal was sent, so that it
/// ends before the state service's count does.
class Tenure {
  public:
    void begin(transport::Time sent, transport::Duration life) {
        until_ = bound(sent, life);
        life_ = life;
    }
    void renewed(transport::Time sent) { until_ = std::max(until_, bound(sent, life_)); }
    void end() { until_ = transport::Time::min(); }
    bool valid(transport::Time now) const { return now < until_; }
    transport::Time until() const { return until_; }

  private:
    static transport::Time bound(transport::Time sent, transport::Duration life) {
        // 0.1% covers two clocks drifting apart; the rest is for an answer on its way out.
        return sent + life - life / 1000 - std::chrono::milliseconds(150);
    }
    transport::Time until_ = transport::Time::min();
    transport::Duration life_{0};
};

/// Leadership by a key under a lease, with a token from a counter that never goes back.
class Election {
  public:
    /// The replica is fresh and shows this node as leader under `token`.
    using Won = std::function<void(std::uint64_t token)>;
    using Lost = std::function<void()>;

    Election(const protocol::Settings& settings, const protocol::Policy& policy, storage::StateClient& state,
             bookkeeping::StateReplica& replica, StateWatcher& watcher, Won won, Lost lost);

    void tick(transport::Time now);
    /// Gives leadership up at once. `selfish`: this node is badly placed to lead, so others go first.
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
    /// when the state service last answered, which was a while ago. The answer that carries the promise must
    /// tell all cancellations that this node knows and the leader may not.
    transport::Duration grantExtension(const std::string& leader, std::uint64_t token, transport::Time now);
    /// A peer's answer to that, once what came with it is taken in. Promises of all peers stand in for the
    /// lease while nobody is served.
    void noteGrant(const std::string& peer, transport::Duration life, transport::Time sent);
    bool leading() const { return leading_; }
    /// A leader that the state service refuses has told its peers that it stopped: its key may be taken over.
    void noteResignation(std::uint64_t token) { resignedTokens_ = std::max(resignedTokens_, token); }
    /// The token that this node led with last and gave up, 0: none.
    std::uint64_t resignedToken() const { return resignedToken_; }

  private:
    static constexpr transport::Duration kCancellationFreshness{1500};
    bool extendedByGrants(transport::Time now) const;
    void attempt(transport::Time now);
    void takeOver(std::uint64_t lease, transport::Time sent);
    void confirm(std::uint64_t token);
    void renew(transport::Time now);
    void fail(std::uint64_t lease);
    void lose();
    bool hasResigned(const storage::LeaderRecord& leader) const { return leader.token <= resignedTokens_; }

    const protocol::Settings& settings_;
    storage::StateClient& state_;
    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    Won won_;
    Lost lost_;
    transport::Duration life_, maxTimeWithoutRead_;
    std::mt19937 random_;
    Tenure tenure_;
    std::uint64_t lease_ = 0, token_ = 0, resignedTokens_ = 0, resignedToken_ = 0;
    std::uint64_t round_ = 0;  // answers to requests of earlier rounds are ignored
    bool trying_ = false, leading_ = false, renewing_ = false, vacant_ = false;
    transport::Time notBefore_{}, nextRenewal_{};
    const transport::Time started_;
    transport::Time grantedUntil_{};                 // this node's promise to `grantedTo_` ends
    std::uint64_t grantedTo_ = 0;                    // a leader's token
    std::map<std::string, transport::Time> grants_;  // of the peers, to this leader
};

}  // namespace burlpoint::coordination
