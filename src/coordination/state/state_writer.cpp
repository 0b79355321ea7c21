#include "coordination/state/state_writer.h"

#include <algorithm>
#include <utility>

#include "protocol/msgpack_codec.h"
#include "storage/records.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using storage::TerminalState;
using storage::TransactionStatus;
using namespace std::chrono_literals;

namespace keys = storage::keys;

namespace {

constexpr auto kBitmapInterval = 1s;                       // a job's finished tasks gather for this long
constexpr std::size_t kMaxBytes = std::size_t{48} * 1024;  // of the 64 KiB that a transaction may have
// Below these the service would refuse nearly everything, whatever its limits.
constexpr std::size_t kMinBytes = 512;
constexpr std::size_t kMinBitmapBytes = 16;
constexpr std::size_t kMinFinalBytes = 128;
// A write's field names, versions and punctuation, and those of its condition, beside value and keys.
constexpr std::size_t kWriteOverhead = 120;
constexpr double kRateShare = 0.6;  // of the service's changes; the rest is for submissions and other nodes
constexpr auto kGrowthPause = 10s, kMaxGrowthPause = 320s;  // between larger transactions, after a refusal
constexpr auto kDeferredFor = 30s;  // a value that is too large alone waits aside for this long
// Other users of the store need their turn, and a moment's wait lets changes gather.
constexpr auto kPause = 150ms;
constexpr auto kPauseAfterRefusal = 500ms;

/// The record that says "done" stands for all bits that are missing if it is the only one to be written.
bool terminalWriteSuffices(const Job& job) {
    if (job.doneCount + job.run->unpersistedTasks.size() < job.spec.tasks) return false;
    return job.run->unpersistedTasks.empty() || job.chunks() == 1;
}

}  // namespace

StateWriter::StateWriter(const protocol::Settings& settings, bookkeeping::StateReplica& replica,
                         bookkeeping::Fleet& fleet, MachineRegistry& registry,
                         const std::map<std::string, protocol::MachineType>& types,
                         const WallClock& wallClock, Time now)
    : settings_(settings),
      replica_(replica),
      fleet_(fleet),
      registry_(registry),
      types_(types),
      wallClock_(wallClock),
      budget_(settings.storeWritesPerSecond * kRateShare, now, settings.minWritesPerSecond() * kRateShare),
      maxOperations_(settings.minTransactionWrites()),
      maxBytes_(kMaxBytes),
      maxBitmapBytes_(settings.maxValueBytes()),
      maxTerminalRecordBytes_(settings.maxValueBytes()) {}

std::string StateWriter::summary() const {
    return "writing " + std::to_string(underWay_.has_value()) + " refreshing " + std::to_string(refreshing_) +
           " unstored " + std::to_string(unstored_.size()) + " roster +" +
           std::to_string(registry_.additions().size()) + " -" + std::to_string(registry_.removals().size());
}

// --- putting a transaction together -----------------------------------------------------------------------

std::optional<WriteState> StateWriter::nextWrite(Time now) {
    if (underWay_ || refreshing_ || now < nextWrite_) return std::nullopt;
    std::erase_if(deferredKeys_, [now](const auto& entry) { return entry.second <= now; });
    Draft draft;
    const auto allowed = static_cast<std::size_t>(std::max(0.0, budget_.available(now)));
    draft.maxWrites = std::min(maxOperations_, allowed);
    draft.state.conditions.push_back({keys::kToken, replica_.tokenVersion});

    putRegistryAdditions(draft, true);
    putTerminalRecords(draft, now);
    putTypes(draft);
    putBitmaps(draft, now);
    putRegistryAdditions(draft, false);  // notes wait for everything that somebody waits for
    putRegistryRemovals(draft);

    if (draft.state.writes.empty()) return std::nullopt;
    budget_.force(static_cast<double>(draft.state.writes.size()), now);
    for (const auto& write : draft.state.writes) draft.contents.keys.push_back(write.key);
    underWay_ = std::move(draft.contents);
    return std::move(draft.state);
}

/// Adds a write; null deletes the key. False: it has to wait, and if it is for lack of room, `full` is set.
bool StateWriter::put(Draft& draft, const std::string& key, std::optional<std::string> value,
                      std::uint64_t version) const {
    if (deferredKeys_.contains(key)) return false;
    // The key is named twice, as there is a condition for each write: these and the fencing token's are
    // within the four conditions that the service allows for each write.
    const auto maxValueBytes = value ? protocol::jsonBytes(*value) : 0;
    const auto bytes = maxValueBytes + 2 * key.size() + kWriteOverhead;
    draft.full = !draft.state.writes.empty() && draft.contents.bytes + bytes > maxBytes_;
    if (draft.full) return false;
    draft.contents.bytes += bytes;
    draft.state.conditions.push_back({key, version});
    draft.state.writes.push_back({key, std::move(value), 0});
    return true;
}

/// `reported`: entries of machines that have reported; else notes of those that have not.
void StateWriter::putRegistryAdditions(Draft& draft, bool reported) {
    for (const auto& id : registry_.additions()) {
        if (!draft.hasRoom()) return;
        const auto& machine = *fleet_.find(id);
        if ((machine.incarnation > 0) != reported) continue;
        auto record = MachineRegistry::recordOf(machine);
        if (!put(draft, keys::machine(id), storage::encodeMachine(record), registry_.versionOf(id))) continue;
        registry_.additionSent(id);
        draft.contents.registryAdditions.push_back({id, std::move(record)});
    }
}

void StateWriter::putRegistryRemovals(Draft& draft) {
    registry_.dropSettledRemovals();
    for (const auto& id : registry_.removals()) {
        if (!draft.hasRoom()) return;
        if (!put(draft, keys::machine(id), std::nullopt, registry_.versionOf(id))) continue;
        registry_.removalSent(id);
        draft.contents.registryRemovals.push_back(id);
    }
}

void StateWriter::putTerminalRecords(Draft& draft, Time now) const {
    for (auto* job : unstored_) {
        if (!draft.hasRoom()) return;
        if (!terminalWriteSuffices(*job)) continue;
        storage::JobRecord record;
        record.spec = job->spec;
        record.terminalState = TerminalState::done;
        record.acceptedMs = job->acceptedMs;
        record.done = job->spec.tasks;
        record.chunkTasks = job->chunkTasks;
        record.endedMs = wallClock_.wallMsAt(now);
        if (put(draft, keys::job(job->spec.id), storage::encodeTerminatedJob(record, maxTerminalRecordBytes_),
                job->version))
            draft.contents.terminalWrites.push_back({job, record.endedMs});
    }
}

void StateWriter::putTypes(Draft& draft) const {
    if (!typesUnstored_ || !draft.hasRoom()) return;
    std::vector<protocol::MachineType> types;
    for (const auto& [name, type] : types_) types.push_back(type);
    if (put(draft, keys::kTypes, protocol::encodeMachineTypes(types), replica_.typesVersion))
        draft.contents.types = std::move(types);
}

void StateWriter::putBitmaps(Draft& draft, Time now) const {
    for (auto* job : unstored_) {
        if (!draft.hasRoom()) return;
        if (now < job->run->nextBitmapWrite || terminalWriteSuffices(*job)) continue;
        putBitmapsOf(draft, *job);
        job->run->nextBitmapWrite = now + kBitmapInterval;
    }
}

void StateWriter::putBitmapsOf(Draft& draft, Job& job) const {
    std::map<bookkeeping::BitRange, std::vector<std::uint32_t>> ranges;
    for (const auto task : job.run->unpersistedTasks)
        ranges[job.rangeOf(task, maxBitmapBytes_)].push_back(task);
    for (auto& [range, tasks] : ranges) {
        if (!draft.hasRoom()) return;
        auto bits = job.done;
        bits.resize(job.spec.tasks);
        for (const auto task : tasks) bits[task] = true;
        auto text = storage::encodeBits(bits, range.first, range.end - range.first);
        if (put(draft, job.keyOf(range), std::move(text), job.bitmapVersions.of(range)))
            draft.contents.bitmaps.push_back({&job, range, std::move(tasks)});
    }
}

// --- taking in what came of it ----------------------------------------------------------------------------

StateWriter::WriteOutcome StateWriter::handle(const StateWritten& written, Time now) {
    const auto transaction = std::exchange(underWay_, std::nullopt).value_or(Transaction{});
    const auto& result = written.result;
    const bool tokenRaised =
        std::find(result.failed.begin(), result.failed.end(), keys::kToken) != result.failed.end();
    WriteOutcome outcome;
    nextWrite_ = now + kPause;
    takeRegistryWrites(transaction, result);
    switch (result.status) {
        case TransactionStatus::applied:
            grow(now);
            takeStored(transaction, result.revision, outcome);
            return outcome;
        case TransactionStatus::tooLarge:
            shrink(transaction, now);
            return outcome;
        case TransactionStatus::tooMany:
            budget_.refused(now);
            nextWrite_ = now + kPauseAfterRefusal;
            return outcome;
        case TransactionStatus::refused:
            nextWrite_ = now + kPauseAfterRefusal;
            return outcome;
        case TransactionStatus::conflict:
            if (tokenRaised) {
                outcome.followUp = FollowUp::resign;
                return outcome;
            }
            break;
        case TransactionStatus::noLease:
        case TransactionStatus::unknown:
            break;
    }
    // Changed by a user's cancellation, or of unknown outcome: see what is stored, then try again.
    refreshing_ = true;
    outcome.followUp = FollowUp::refreshReplica;
    return outcome;
}

void StateWriter::takeRegistryWrites(const Transaction& transaction,
                                     const storage::TransactionResult& result) {
    const bool applied = result.status == TransactionStatus::applied;
    for (const auto& write : transaction.registryAdditions) {
        if (applied)
            registry_.additionStored(write.machine, write.record, result.revision);
        else
            registry_.additionNotStored(write.machine);
    }
    if (!applied) return;
    for (const auto& id : transaction.registryRemovals) registry_.removalStored(id);
}

void StateWriter::takeStored(const Transaction& transaction, std::uint64_t revision, WriteOutcome& outcome) {
    for (const auto& write : transaction.bitmaps) takeBitmap(write, revision);
    for (const auto& write : transaction.terminalWrites) {
        if (write.job->terminalState != TerminalState::none) continue;
        replica_.noteDone(*write.job, revision, write.endedMs, outcome.changes);
        unstored_.erase(write.job);
        outcome.ended.push_back(write.job);
    }
    if (!transaction.types.empty()) {
        replica_.types = transaction.types;
        replica_.typesVersion = revision;
        typesUnstored_ = false;
    }
}

void StateWriter::takeBitmap(const BitmapWrite& write, std::uint64_t revision) {
    auto& job = *write.job;
    if (job.terminalState != TerminalState::none) return;
    for (const auto task : write.tasks) job.setDone(task);
    job.bitmapVersions.raise(write.range, revision);
    if (job.run->unpersistedTasks.empty() && job.doneCount < job.spec.tasks) unstored_.erase(&job);
}

/// The transaction was too large for the service. All that it held is still to be stored, in smaller pieces;
/// what is too large alone is a bitmap, which can be cut further, or a last record that can go without more,
/// or waits aside while the rest goes on.
void StateWriter::shrink(const Transaction& refused, Time now) {
    growthPause_ = std::clamp<Clock::duration>(growthPause_ * 2, kGrowthPause, kMaxGrowthPause);
    nextGrowth_ = now + growthPause_;
    for (const auto& write : refused.bitmaps) write.job->run->nextBitmapWrite = now;
    if (refused.keys.size() > 1) {
        maxOperations_ = refused.keys.size() / 2;
        maxBytes_ = std::max(kMinBytes, refused.bytes / 2);
    } else if (!refused.bitmaps.empty() && maxBitmapBytes_ > kMinBitmapBytes) {
        // Below the value that was refused: a small job's chunk may have been well within the bound.
        const auto& range = refused.bitmaps.front().range;
        const auto bytes = (range.end - range.first + 3) / 4 + 2;  // four tasks a digit, in quotes
        maxBitmapBytes_ = std::max(kMinBitmapBytes, std::min(maxBitmapBytes_, bytes) / 2);
    } else if (!refused.terminalWrites.empty() && maxTerminalRecordBytes_ > kMinFinalBytes) {
        maxTerminalRecordBytes_ = std::min(maxTerminalRecordBytes_, refused.bytes) / 2;
    } else if (!refused.keys.empty()) {
        deferredKeys_[refused.keys.front()] = now + kDeferredFor;
    }
}

void StateWriter::grow(Time now) {
    if (now < nextGrowth_) return;
    maxOperations_ = std::min<std::size_t>(maxOperations_ * 2, settings_.minTransactionWrites());
    maxBytes_ = std::min(maxBytes_ * 2, kMaxBytes);
    nextGrowth_ = now + growthPause_;
}

}  // namespace burlpoint::coordination
