#include "coordination/state/pending_writes.h"

#include <utility>

#include "coordination/state/transaction_limits.h"
#include "storage/records.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using storage::TerminalState;
using namespace std::chrono_literals;

namespace keys = storage::keys;

namespace {

constexpr auto kBitmapInterval = 1s;  // minimum time between bitmap writes of a job, to batch tasks

/// True if the terminal record is the only write that the job still needs. The record also stands for the
/// unwritten bits, unless the job's bitmap has several chunks.
bool terminalRecordSuffices(const Job& job) {
    if (job.doneCount + job.run->unpersistedTasks.size() < job.spec.tasks) return false;
    return job.run->unpersistedTasks.empty() || job.chunkCount() == 1;
}

storage::JobRecord terminalRecordOf(const Job& job, std::uint64_t endedMs) {
    storage::JobRecord record;
    record.spec = job.spec;
    record.terminalState = TerminalState::done;
    record.acceptedMs = job.acceptedMs;
    record.done = job.spec.tasks;
    record.chunkTasks = job.chunkTasks;
    record.endedMs = endedMs;
    return record;
}

}  // namespace

PendingWrites::PendingWrites(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet,
                             MachineRegistry& registry,
                             const std::map<std::string, protocol::MachineType>& types,
                             const WallClock& wallClock)
    : replica_(replica), fleet_(fleet), registry_(registry), types_(types), wallClock_(wallClock) {}

void PendingWrites::fill(TransactionDraft& draft, Time now) {
    putRegistryAdditions(draft, Machines::withHeartbeat);
    putTerminalRecords(draft, now);
    putTypes(draft);
    putBitmaps(draft, now);
    // Workers and users wait for the writes above. Nothing waits for the writes below.
    putRegistryAdditions(draft, Machines::withoutHeartbeat);
    putRegistryRemovals(draft);
}

void PendingWrites::putRegistryAdditions(TransactionDraft& draft, Machines which) {
    for (const auto& id : registry_.additions()) {
        if (!draft.hasRoom()) return;
        const auto& machine = *fleet_.find(id);
        const bool hadHeartbeat = machine.agent.incarnation > 0;
        if (hadHeartbeat != (which == Machines::withHeartbeat)) continue;
        auto record = MachineRegistry::expectedEntry(machine);
        if (!draft.put(keys::machine(id), storage::encodeMachine(record), registry_.versionOf(id))) continue;
        registry_.recordAdditionSent(id);
        draft.contents.registryAdditions.push_back({id, std::move(record)});
    }
}

void PendingWrites::putRegistryRemovals(TransactionDraft& draft) {
    registry_.dropCompletedRemovals();
    for (const auto& id : registry_.removals()) {
        if (!draft.hasRoom()) return;
        if (!draft.put(keys::machine(id), std::nullopt, registry_.versionOf(id))) continue;
        registry_.recordRemovalSent(id);
        draft.contents.registryRemovals.push_back(id);
    }
}

void PendingWrites::putTerminalRecords(TransactionDraft& draft, Time now) const {
    for (auto* job : unstoredJobs_) {
        if (!draft.hasRoom()) return;
        if (!terminalRecordSuffices(*job)) continue;
        const auto endedMs = wallClock_.wallMsAt(now);
        auto value = storage::encodeTerminatedJob(terminalRecordOf(*job, endedMs),
                                                  draft.limits().maxTerminalRecordBytes());
        if (draft.put(keys::job(job->spec.id), std::move(value), job->version))
            draft.contents.terminalRecords.push_back({job, endedMs});
    }
}

void PendingWrites::putTypes(TransactionDraft& draft) const {
    if (!typesUnstored_ || !draft.hasRoom()) return;
    std::vector<protocol::MachineType> types;
    for (const auto& [name, type] : types_) types.push_back(type);
    if (draft.put(keys::kTypes, protocol::encodeMachineTypes(types), replica_.typesVersion))
        draft.contents.types = std::move(types);
}

void PendingWrites::putBitmaps(TransactionDraft& draft, Time now) const {
    for (auto* job : unstoredJobs_) {
        if (!draft.hasRoom()) return;
        if (now < job->run->nextBitmapWrite || terminalRecordSuffices(*job)) continue;
        putBitmapsOf(draft, *job);
        job->run->nextBitmapWrite = now + kBitmapInterval;
    }
}

void PendingWrites::putBitmapsOf(TransactionDraft& draft, Job& job) {
    std::map<bookkeeping::BitRange, std::vector<std::uint32_t>> tasksByRange;
    for (const auto task : job.run->unpersistedTasks)
        tasksByRange[job.rangeOf(task, draft.limits().maxBitmapBytes())].push_back(task);
    for (auto& [range, tasks] : tasksByRange) {
        if (!draft.hasRoom()) return;
        auto bits = job.done;
        bits.resize(job.spec.tasks);
        for (const auto task : tasks) bits[task] = true;
        auto value = storage::encodeBits(bits, range.first, range.end - range.first);
        if (draft.put(job.keyOf(range), std::move(value), job.bitmapVersions.of(range)))
            draft.contents.bitmaps.push_back({&job, range, std::move(tasks)});
    }
}

PendingWrites::Effects PendingWrites::handleApplied(const TransactionContents& transaction,
                                                    std::uint64_t revision) {
    Effects effects;
    for (const auto& write : transaction.registryAdditions)
        registry_.recordAdditionStored(write.machine, write.record, revision);
    for (const auto& id : transaction.registryRemovals) registry_.recordRemovalStored(id);
    for (const auto& write : transaction.bitmaps) applyBitmap(write, revision);
    for (const auto& write : transaction.terminalRecords) applyTerminalRecord(write, revision, effects);
    if (!transaction.types.empty()) applyTypes(transaction.types, revision);
    return effects;
}

void PendingWrites::handleNotApplied(const TransactionContents& transaction) {
    for (const auto& write : transaction.registryAdditions) registry_.recordAdditionNotStored(write.machine);
}

void PendingWrites::retryBitmaps(const TransactionContents& transaction, Time now) {
    for (const auto& write : transaction.bitmaps) write.job->run->nextBitmapWrite = now;
}

void PendingWrites::applyBitmap(const TransactionContents::Bitmap& write, std::uint64_t revision) {
    auto& job = *write.job;
    if (job.terminalState != TerminalState::none) return;  // the job ended in the meantime
    for (const auto task : write.tasks) job.setDone(task);
    job.bitmapVersions.raise(write.range, revision);
    if (job.run->unpersistedTasks.empty() && job.doneCount < job.spec.tasks) unstoredJobs_.erase(&job);
}

void PendingWrites::applyTerminalRecord(const TransactionContents::TerminalRecord& write,
                                        std::uint64_t revision, Effects& effects) {
    if (write.job->terminalState != TerminalState::none) return;  // the job ended in the meantime
    replica_.applyCompletion(*write.job, revision, write.endedMs, effects.changes);
    unstoredJobs_.erase(write.job);
    effects.ended.push_back(write.job);
}

void PendingWrites::applyTypes(const std::vector<protocol::MachineType>& types, std::uint64_t revision) {
    replica_.types = types;
    replica_.typesVersion = revision;
    typesUnstored_ = false;
}

}  // namespace burlpoint::coordination
