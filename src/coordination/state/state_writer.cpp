#include "coordination/state/state_writer.h"

#include <algorithm>
#include <utility>

#include "storage/records.h"

namespace burlpoint::coordination {

using storage::TransactionStatus;

StateWriter::StateWriter(const protocol::Settings& settings, bookkeeping::StateReplica& replica,
                         bookkeeping::Fleet& fleet, MachineRegistry& registry,
                         const std::map<std::string, protocol::MachineType>& types,
                         const WallClock& wallClock, Time now)
    : replica_(replica),
      registry_(registry),
      pending_(replica, fleet, registry, types, wallClock),
      limits_(settings),
      pacing_(settings, now) {}

std::string StateWriter::summary() const {
    return "write_under_way=" + std::to_string(inFlight_.has_value()) +
           " refreshing_replica=" + std::to_string(refreshing_) +
           " unstored_jobs=" + std::to_string(pending_.unstoredJobCount()) +
           " registry_additions=" + std::to_string(registry_.additions().size()) +
           " registry_removals=" + std::to_string(registry_.removals().size());
}

std::optional<WriteState> StateWriter::nextWrite(Time now) {
    if (inFlight_ || refreshing_ || !pacing_.ready(now)) return std::nullopt;
    limits_.dropExpiredDeferrals(now);
    const auto maxWrites = std::min(limits_.maxWrites(), pacing_.allowedWrites(now));
    TransactionDraft draft(limits_, maxWrites, replica_.tokenVersion);
    pending_.fill(draft, now);
    if (draft.empty()) return std::nullopt;
    pacing_.recordSend(draft.contents.keys.size(), now);
    inFlight_ = std::move(draft.contents);
    return draft.takeRequest();
}

StateWriter::WriteOutcome StateWriter::handle(const StateWritten& written, Time now) {
    const auto transaction = std::exchange(inFlight_, std::nullopt).value_or(TransactionContents{});
    const auto& result = written.result;
    pacing_.recordCompletion(now);
    if (result.status != TransactionStatus::applied) pending_.handleNotApplied(transaction);
    switch (result.status) {
        case TransactionStatus::applied:
            return handleApplied(transaction, result.revision, now);
        case TransactionStatus::tooLarge:
            limits_.shrink(transaction, now);
            PendingWrites::retryBitmaps(transaction, now);
            return {};
        case TransactionStatus::rateLimited:
            pacing_.recordRateLimit(now);
            return {};
        case TransactionStatus::unavailable:
            pacing_.recordUnavailability(now);
            return {};
        case TransactionStatus::conflict:
            if (tokenRaised(result)) return {FollowUp::resign, {}, {}};
            break;
        case TransactionStatus::leaseExpired:
        case TransactionStatus::unknown:
            break;
    }
    // Another controller has stored a cancellation, or the outcome is unknown. Only a read can determine the
    // stored state.
    refreshing_ = true;
    return {FollowUp::refreshReplica, {}, {}};
}

StateWriter::WriteOutcome StateWriter::handleApplied(const TransactionContents& transaction,
                                                     std::uint64_t revision, Time now) {
    limits_.grow(now);
    auto effects = pending_.handleApplied(transaction, revision);
    return {FollowUp::none, std::move(effects.ended), std::move(effects.changes)};
}

bool StateWriter::tokenRaised(const storage::TransactionResult& result) {
    const auto& failed = result.failed;
    return std::find(failed.begin(), failed.end(), storage::keys::kToken) != failed.end();
}

}  // namespace burlpoint::coordination
