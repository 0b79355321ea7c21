#pragma once

// The exchange of status messages with peers: once a second each controller sends its status to all others,
// which respond with theirs. During an outage of the key-value store, the responses carry the votes that
// extend the leader's lease. Owns the time of the next exchange; `PeerExchange` holds what the peers have
// reported. Used on the event loop's thread only.

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

/// The state that the exchange with peers reads and changes.
struct PeerMessengerContext {
    const protocol::Settings& settings;
    transport::HttpClient& http;  // for requests to peers
    const storage::KeyValueClient& store;
    const bookkeeping::StateReplica& replica;
    PeerExchange& peers;
    Election& election;
    UserApi& userApi;  // receives the numbers of running tasks per job
    const LeaderRunner& leader;
};

class PeerMessenger {
  public:
    /// All objects that the context refers to must outlive this object.
    explicit PeerMessenger(const PeerMessengerContext& context);

    /// Sends a status message to all peers if an exchange is due. To be called several times a second.
    void exchangeIfDue(Time now);

    /// Schedules the next exchange for `now`.
    void scheduleExchange(Time now) { nextExchange_ = now; }

    /// Answers a peer's status message.
    void serve(const transport::Request& request, const transport::Reply& reply);

    /// True if the key-value store answers at least one peer but not this controller.
    bool onlyThisControllerRefused(Time now) const;

    /// True if a status of any peer arrived within the last 2.5 s.
    bool hasRecentPeerStatus(Time now) const;

  private:
    /// A sent status message, to which a peer's response is matched.
    struct SentStatus {
        std::string peer;
        Time sentAt;
        std::uint64_t epoch = 0;  // leadership epoch of this controller when the message was sent
    };

    protocol::PeerStatus ownStatus(Time now) const;
    protocol::PeerStatus answerTo(const protocol::PeerStatus& query, Time now);
    void handleAnswer(const SentStatus& sent, const std::string& body);
    void recordStatus(const protocol::PeerStatus& status, Time now);
    /// The duration in milliseconds of this controller's vote for the leader that sent `query`; 0 means no
    /// vote. A vote may be sent only in a response that completes the list of cancellations.
    std::uint64_t voteFor(const protocol::PeerStatus& query, Time now);

    const PeerMessengerContext context_;
    Time nextExchange_{};
};

}  // namespace burlpoint::coordination
