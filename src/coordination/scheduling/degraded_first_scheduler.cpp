#include "coordination/scheduling/degraded_first_scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::PlacementState;
using protocol::CommandKind;
using protocol::JobKind;
using protocol::Priority;
using protocol::WorkerCommand;

namespace {

constexpr std::size_t kMaxStarts = 250;  // in a response, with stops and the rest of it
constexpr int kHeartbeatsKept = 3;       // freed room is kept for so many report intervals
constexpr double kSlack = 1e-6;          // processors that a sum of decimals may be off by

WorkerCommand startOf(const Job& job, std::uint32_t task, std::uint64_t attempt) {
    return {CommandKind::start, {job.spec.id, task, attempt}, Seconds(0)};
}

}  // namespace

DegradedFirstScheduler::DegradedFirstScheduler(const SchedulerContext& context) : context_(context) {}

void DegradedFirstScheduler::schedule(Machine& machine, std::vector<WorkerCommand>& commands, Time now) {
    Turn turn{machine, commands, now};
    startPlanned(turn, context_.fleet);
    const bool full = !machine.typeInfo ||
                      machine.typeInfo->cpus - machine.used.cpus < context_.jobQueue.minCpus() - kSlack;
    const auto& jobs = context_.jobQueue.waiting();
    for (auto first = jobs.begin(); first != jobs.end();) {
        const int rank = rankOf(**first);
        const auto last =
            std::find_if(first, jobs.end(), [&](const Job* job) { return rankOf(*job) != rank; });
        const JobSpan ofRank(first, last);
        if (!full) startCachedAndPaced(turn, ofRank);
        if (rank >= static_cast<int>(Priority::high))
            for (const auto* job : ofRank) reserveFreedRoom(machine, *job, now);
        if (!full) fillLeftoverRoom(turn, ofRank);
        first = last;
    }
}

/// Gang tasks planned for this machine start: their room is kept already.
void DegradedFirstScheduler::startPlanned(Turn& turn, Fleet& fleet) {
    for (auto& [key, placement] : turn.machine.placements) {
        if (placement.state != PlacementState::planned || turn.commands.size() >= kMaxStarts) continue;
        placement.sentSequence = turn.machine.sequence;
        fleet.setState(placement, PlacementState::sent, turn.now);
        ++placement.job->run->launchedTasks;
        turn.commands.push_back(startOf(*placement.job, placement.task, placement.attempt));
    }
}

/// The design's walk over jobs of one rank: all cached tasks that fit, and one paced fetch for the whole
/// report.
void DegradedFirstScheduler::startCachedAndPaced(Turn& turn, JobSpan jobs) {
    auto& machine = turn.machine;
    for (auto* job : jobs) {
        if (job->run->waiting == 0 || !hasFreeRoom(machine, *job)) continue;
        if (!context_.rules.mayStart(*job, machine, turn.now)) continue;
        if (machine.hasImage(job->image())) {
            while (startOne(turn, *job)) {
            }
            continue;
        }
        if (context_.images.waitsForImage(*job, turn.now) || turn.fetchPlaced) continue;
        if (machine.isFetching(job->image())) continue;
        if (!context_.pacing.allows(*job, machine, turn.now)) continue;
        if (context_.images.roomWithImage(*job, turn.now) >= job->run->waiting) continue;
        if (!startOne(turn, *job)) continue;
        turn.fetchPlaced = true;
        context_.pacing.recordFetch(*job, machine.zone, turn.now);
    }
}

/// What room is left takes any waiting task, unless machines that have its image report soon.
void DegradedFirstScheduler::fillLeftoverRoom(Turn& turn, JobSpan jobs) {
    auto& machine = turn.machine;
    for (auto* job : jobs) {
        if (job->run->waiting == 0 || !hasFreeRoom(machine, *job)) continue;
        if (machine.hasImage(job->image())) continue;
        if (!context_.rules.mayStart(*job, machine, turn.now)) continue;
        if (context_.images.waitsForImage(*job, turn.now)) continue;
        const auto waiting = job->run->waiting;
        const auto elsewhere = context_.images.roomWithImage(*job, turn.now);
        bool fetching = machine.isFetching(job->image());
        for (std::uint32_t n = elsewhere; n < waiting && startOne(turn, *job); ++n) {
            if (!fetching) context_.pacing.recordFetch(*job, machine.zone, turn.now);
            fetching = true;
        }
    }
}

bool DegradedFirstScheduler::mayStartOne(const Turn& turn, const Job& job) const {
    if (turn.commands.size() >= kMaxStarts || !context_.rules.mayStart(job, turn.machine, turn.now))
        return false;
    if (blockedByUnreconciled(job, context_.fleet)) return false;
    // A gang of one task, too, has one attempt at a time.
    const bool gang = job.spec.kind == JobKind::gang;
    if (gang && (job.spec.tasks > 1 || job.run->placedTotal > 0)) return false;
    if (!withinTeamLimit(job, 1, context_.fleet, context_.types)) return false;
    return availableRoom(turn.machine, job, turn.now).covers(bookkeeping::needOf(job.spec));
}

/// Starts a waiting task of the job on the machine, image or not. False if none may start there.
bool DegradedFirstScheduler::startOne(Turn& turn, Job& job) {
    if (!mayStartOne(turn, job)) return false;
    const auto task = job.firstWaiting();
    if (!task) return false;
    auto& machine = turn.machine;
    auto& run = *job.run;
    const auto attempt = context_.attempts.next();
    auto& placement = context_.fleet.place(machine, job, *task, attempt, PlacementState::sent, turn.now);
    placement.sentSequence = machine.sequence;
    if (run.overdue && run.launchedTasks == 0 && job.doneCount == 0) run.firstOverdueTask = *task;
    ++run.launchedTasks;
    if (job.spec.kind == JobKind::gang) run.gangAttempt = attempt;
    if (machine.reservedFor == &job) context_.fleet.cancelReservation(machine);
    machine.lastBusyAt = turn.now;
    spdlog::debug("start {}/{} attempt {} on {} after report {}.{}", job.spec.id, *task, attempt, machine.id,
                  machine.incarnation, machine.sequence);
    turn.commands.push_back(startOf(job, *task, attempt));
    if (run.waiting == 0) context_.jobQueue.markStale();
    return true;
}

/// Room that comes free a little at a time would go to small low tasks for ever. One machine per waiting task
/// of a high job keeps it, which mostly spares stopping anything.
void DegradedFirstScheduler::reserveFreedRoom(Machine& machine, const Job& job, Time now) {
    const auto& run = *job.run;
    if (run.waiting == 0 || machine.isReserved(now) || bookkeeping::isLargeGang(job.spec)) return;
    const auto need = bookkeeping::needOf(job.spec);
    if (availableRoom(machine, job, now).covers(need) || !maxRoom(machine, job, now).covers(need)) return;
    if (!context_.rules.mayStart(job, machine, now) || blockedByUnreconciled(job, context_.fleet)) return;
    if (!withinTeamLimit(job, 1, context_.fleet, context_.types)) return;
    if (context_.fleet.reservations(job, now) >= run.waiting) return;
    const auto time =
        std::chrono::duration_cast<Clock::duration>(context_.settings.heartbeatInterval * kHeartbeatsKept);
    context_.fleet.reserve(machine, job, now + time, bookkeeping::ReservationKind::waiting);
}

}  // namespace burlpoint::coordination
