#include "protocol/peer_messages.h"

#include <algorithm>

#include "protocol/job_messages.h"
#include "protocol/map_reader.h"
#include "protocol/message_packer.h"
#include "protocol/wire_names.h"

namespace burlpoint::protocol {

PeerStatus decodePeerStatus(std::string_view body) {
    const auto handle = unpackBody(body);
    const MapReader fields(handle.get());
    PeerStatus status;
    status.node = fields.text(wire::peer::kController);
    status.fencingToken = fields.integer(wire::peer::kFencingToken);
    status.resignedToken = fields.integerOr(wire::peer::kResignedToken, 0);
    status.stateAgeMs = fields.integer(wire::peer::kStateAgeMs);
    status.leaderToken = fields.integerOr(wire::peer::kLeaderToken, 0);
    status.voteMs = fields.integerOr(wire::peer::kVoteMs, 0);
    status.revision = fields.integerOr(wire::peer::kRevision, 0);
    status.logId = fields.integerOr(wire::peer::kLogId, 0);
    status.logPosition = fields.integerOr(wire::peer::kLogPosition, 0);
    status.complete = fields.flagOr(wire::peer::kComplete, false);
    fields.each(wire::peer::kCancelled, [&](const msgpack::object& element) {
        const MapReader cancellation(element);
        status.cancelled.push_back(
            {cancellation.text(wire::peer::kJob), cancellation.integer(wire::peer::kVersion)});
    });
    fields.each(wire::peer::kRunning, [&](const msgpack::object& element) {
        const MapReader running(element);
        auto job = running.text(wire::peer::kJob);
        const auto count = std::min<std::uint64_t>(running.integer(wire::peer::kCount), kMaxTasks);
        status.running.emplace_back(std::move(job), static_cast<std::uint32_t>(count));
    });
    return status;
}

std::string encodePeerStatus(const PeerStatus& status) {
    MessagePacker packer;
    packer.map(12);
    packer.field(wire::peer::kController, status.node);
    packer.field(wire::peer::kFencingToken, status.fencingToken);
    packer.field(wire::peer::kResignedToken, status.resignedToken);
    packer.field(wire::peer::kStateAgeMs, status.stateAgeMs);
    packer.field(wire::peer::kLeaderToken, status.leaderToken);
    packer.field(wire::peer::kVoteMs, status.voteMs);
    packer.field(wire::peer::kRevision, status.revision);
    packer.field(wire::peer::kLogId, status.logId);
    packer.field(wire::peer::kLogPosition, status.logPosition);
    packer.field(wire::peer::kComplete, status.complete);
    packer.key(wire::peer::kCancelled).list(status.cancelled.size());
    for (const auto& cancellation : status.cancelled) {
        packer.map(2).field(wire::peer::kJob, cancellation.job);
        packer.field(wire::peer::kVersion, cancellation.version);
    }
    packer.key(wire::peer::kRunning).list(status.running.size());
    for (const auto& [job, count] : status.running)
        packer.map(2).field(wire::peer::kJob, job).field(wire::peer::kCount, count);
    return packer.str();
}

}  // namespace burlpoint::protocol
