#pragma once

// The messages between this controller and its peers: once a second each asks all others and tells its own
// status. In an outage of the key-value store the answers carry the votes that extend a leader's lease. Owns
// when the next exchange is due; what the peers have told is in `PeerExchange`. Used on the event loop's
// thread only.

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "coordination/api/user_api.h"
#include "coordination/controller/leader_runner.h"
#include "coordination/leadership/election.h"
#include "coordination/leadership/peer_exchange.h"
#include "protocol/peer_messages.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"
#include "transport/http_client.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// What the exchange with peers reads and changes.
struct PeerMessengerContext {
    const protocol::Settings& settings;
    transport::HttpClient& http;  // to peers
    const storage::KeyValueClient& state;
    const bookkeeping::StateReplica& replica;
    PeerExchange& peers;
    Election& election;
    UserApi& userApi;  // is told the counts of running tasks
    const LeaderRunner& leader;
};

class PeerMessenger {
  public:
    /// All that the context refers to has to outlive this.
    explicit PeerMessenger(const PeerMessengerContext& context);

    /// Asks all peers if that is due. To be called often.
    void exchangeIfDue(Time now);

    /// Makes the next exchange due at `now`.
    void exchangeFrom(Time now) { nextExchange_ = now; }

    /// Answers a peer's status message.
    void serve(const transport::Request& request, const transport::Reply& reply);

    /// Does the key-value store answer peers and not this controller?
    bool onlyThisControllerRefused(Time now) const;

    /// Has any peer been heard of late?
    bool anyPeerInTouch(Time now) const;

  private:
    /// The request that an answer of a peer belongs to.
    struct SentStatus {
        std::string peer;
        Time sentAt;
        std::uint64_t epoch = 0;  // of this controller's leaderships
    };

    protocol::PeerStatus ownStatus(Time now) const;
    protocol::PeerStatus answerTo(const protocol::PeerStatus& asking, Time now);
    void handleAnswer(const SentStatus& sent, const std::string& body);
    void noteStatus(const protocol::PeerStatus& status, Time now);
    /// For how many milliseconds this controller votes for the asking leader; 0: no vote. A vote must only go
    /// into an answer that tells all cancellations.
    std::uint64_t voteFor(const protocol::PeerStatus& asking, Time now);

    const PeerMessengerContext context_;
    Time nextExchange_{};
};

}  // namespace burlpoint::coordination
