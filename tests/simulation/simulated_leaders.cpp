#include "simulation/simulated_leaders.h"

#include <map>

#include "bookkeeping/fleet_recount.h"

namespace burlpoint::simulation {

using namespace std::chrono_literals;
using coordination::LeaderEvent;

namespace {

constexpr std::uint64_t kRecountInterval = 16;  // events; a recount is too slow to run after each

}  // namespace

void SimulatedLeaders::step(double seconds) {
    auto& random = environment_.random;
    const auto& faults = environment_.faults;
    const auto now = environment_.now();
    if (!leadership_ && now >= nextElection_ && !store_.isUnavailable()) elect();
    if (leadership_ && random.chance(faults.leaderCrashesPerSecond * seconds)) crash();
    if (leadership_ && leadership_->reachesStore() &&
        random.chance(faults.leaderStoreLossesPerSecond * seconds))
        leadership_->leaseEnd = now + random.delay(1, 8);
    if (leadership_ && now >= leadership_->leaseEnd) crash();
    if (!leadership_) return;
    const auto maxReadInterval = 400ms + toClockDuration(store_.latency());
    const bool readIsDue = random.chance(0.5) || now - leadership_->lastRead >= maxReadInterval;
    if (readIsDue && leadership_->reachesStore() && !store_.isUnavailable()) readStore(*leadership_);
    handle(coordination::Tick{});
}

void SimulatedLeaders::elect() {
    ++environment_.occurrences.failovers;
    countTeamsNearQuota();
    auto leadership = std::make_shared<Leadership>();
    leadership->fencingToken = store_.fencingToken() + 1;
    store_.commitImmediately({},
                             {{storage::keys::kToken, storage::encodeToken(leadership->fencingToken), 0}});
    readStore(*leadership);
    leadership->leader = std::make_unique<coordination::Leader>(environment_.settings, environment_.policy,
                                                                leadership->replica, leadership->fencingToken,
                                                                environment_.now(), 0);
    leadership_ = std::move(leadership);
    network_.releaseHeldHeartbeats();
}

void SimulatedLeaders::crash() {
    leadership_.reset();
    // Either the controller restarts at once, or another one takes over once the lease has expired. Messages
    // in flight are not lost.
    auto& random = environment_.random;
    nextElection_ = environment_.now() + (random.chance(0.3) ? Clock::duration(200ms) : random.delay(1, 8));
}

void SimulatedLeaders::endLeadership(Seconds pause) {
    leadership_.reset();
    nextElection_ = environment_.now() + toClockDuration(pause);
}

void SimulatedLeaders::loseStore(Seconds longest) {
    if (leadership_ && leadership_->reachesStore())
        leadership_->leaseEnd = environment_.now() + environment_.random.delay(0.5, longest.count());
}

void SimulatedLeaders::moveIntoPartitionedZone() {
    if (!leadership_) return;
    leadership_->insidePartitionedZone = true;
    loseStore(Seconds(8));
}

void SimulatedLeaders::readStoreBeforeOutage() {
    if (leadership_ && leadership_->reachesStore()) readStore(*leadership_);
}

void SimulatedLeaders::countTeamsNearQuota() {
    std::map<std::string, double> cpusOfTeams;
    bool someUnreachable = false;
    for (const auto& [id, worker] : workers_.all()) {
        if (!workers_.holdsLease(worker)) continue;
        someUnreachable |= !worker.tasks.empty() && !workers_.findReachable(id);
        for (const auto& [attempt, task] : worker.tasks) {
            const auto& spec = environment_.jobs.specs.at(attempt.job);
            if (task.state != protocol::TaskState::exited) cpusOfTeams[spec.team] += spec.cpus;
        }
    }
    constexpr double kCpusOfLargestTask = 3;
    for (const auto& [name, cpus] : cpusOfTeams) {
        const double maximum = environment_.settings.team(name)->maxCpus;
        const bool nearQuota = maximum > 0 && cpus + kCpusOfLargestTask > maximum;
        environment_.occurrences.failoversNearTeamQuota += someUnreachable && nearQuota;
    }
}

void SimulatedLeaders::readStore(Leadership& leadership) {
    leadership.lastRead = environment_.now();
    coordination::JobsChanged jobs;
    for (const auto& change : store_.readChanges(leadership.replica, leadership.replicaPosition))
        if (change.kind == bookkeeping::ReplicaChangeKind::job) jobs.ids.push_back(change.id);
    if (leadership.leader && !jobs.ids.empty()) handle(std::move(jobs));
}

void SimulatedLeaders::handle(LeaderEvent event) {
    if (!leadership_) return;
    const auto leadership = leadership_;  // kept alive in case an action ends the leadership
    auto actions = leadership->leader->handle(std::move(event), environment_.now());
    if (++handledEvents_ % kRecountInterval == 0) {
        const auto differences = tests::recount(leadership->leader->fleet(), leadership->replica);
        if (!differences.empty()) environment_.violations.push_back("recount: " + differences);
    }
    for (const auto& action : actions) {
        if (leadership_ != leadership) return;
        if (onAction) onAction(action);
        std::visit([this](const auto& decidedAction) { perform(decidedAction); }, action);
    }
}

Requester SimulatedLeaders::requester() {
    Requester requester;
    requester.fencingToken = leadership_->fencingToken;
    requester.insidePartitionedZone = leadership_->insidePartitionedZone;
    requester.reachesStore = leadership_->reachesStore();
    requester.respond = [this, token = leadership_->fencingToken](Clock::duration delay, LeaderEvent event) {
        environment_.events.schedule(delay, [this, token, event = std::move(event)]() mutable {
            if (leadership_ && leadership_->fencingToken == token) handle(std::move(event));
        });
    };
    return requester;
}

void SimulatedLeaders::perform(const coordination::RefreshReplica&) {
    environment_.events.schedule(20ms, [this, token = leadership_->fencingToken] {
        if (!leadership_ || leadership_->fencingToken != token) return;
        if (!leadership_->reachesStore() || store_.isUnavailable())
            return handle(coordination::ReplicaRefreshed{coordination::RefreshOutcome::failed});
        readStore(*leadership_);
        handle(coordination::ReplicaRefreshed{coordination::RefreshOutcome::refreshed});
    });
}

void SimulatedLeaders::receiveHeartbeat(const protocol::Heartbeat& heartbeat, std::uint64_t request) {
    if (leadership_ &&
        network_.areConnected(workers_.at(heartbeat.machine), leadership_->insidePartitionedZone))
        handle(coordination::HeartbeatReceived{request, heartbeat});
}

std::string SimulatedLeaders::describe(const std::string& id) const {
    if (!leadership_) return "no leader";
    const auto* job = leadership_->replica.find(id);
    std::string text = "done " + std::to_string(job->doneCount);
    if (job->run)
        text += " waiting " + std::to_string(job->run->waiting) + " placed " +
                std::to_string(job->run->placedTotal) + " unpersisted " +
                std::to_string(job->run->unpersistedTasks.size()) + " errors on " +
                std::to_string(job->run->failures.count(environment_.now()));
    text += "; last conflict " + store_.lastFailedKey() + "; " + leadership_->leader->stateWriter().summary();
    for (const auto& [machineId, machine] : leadership_->leader->fleet().machines())
        text += "\n  " + machineId + " " + machine->type + "/" + machine->zone +
                (machine->spot ? "/spot" : "") + " acknowledged " +
                std::to_string(machine->agent.acknowledged) + " reconciled " +
                std::to_string(machine->registry.reconciled) + " registration " +
                std::to_string(static_cast<int>(machine->registry.state)) + " draining " +
                std::to_string(machine->cloud.draining) + " deletion requested " +
                std::to_string(machine->cloud.deletionRequested) + " errors " +
                std::to_string(machine->history.failures.count(environment_.now())) + " tasks " +
                std::to_string(machine->placements.size());
    return text;
}

}  // namespace burlpoint::simulation
