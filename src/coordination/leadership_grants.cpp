#include "coordination/leadership_grants.h"

#include <algorithm>

namespace burlpoint::coordination {

using transport::Duration;
using transport::Time;

Duration LeadershipGrants::give(std::uint64_t token, Time now) {
    givenUntil_ = now + kLife + kLife / 1000;  // 0.1% covers two clocks drifting apart
    givenTo_ = token;
    return kLife;
}

bool LeadershipGrants::bound(Time now, std::uint64_t resignedTokens) const {
    return now < givenUntil_ && givenTo_ > resignedTokens;
}

void LeadershipGrants::noteReceived(const std::string& peer, Duration life, Time sent) {
    if (life.count() <= 0) return;
    Tenure grant;
    grant.begin(sent, std::min(life, kLife));
    received_[peer] = grant;
}

bool LeadershipGrants::allInForce(const std::vector<protocol::Peer>& peers, Time now) const {
    return !peers.empty() && std::all_of(peers.begin(), peers.end(), [&](const auto& peer) {
        const auto found = received_.find(peer.name);
        return found != received_.end() && found->second.valid(now);
    });
}

}  // namespace burlpoint::coordination
