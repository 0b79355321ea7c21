// Degraded-first placement: DESIGN's rule on each report, and what the rules and the deployments add to it.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "coordination/leader.h"

namespace burlpoint::coordination {

using protocol::Kind;
using protocol::Op;
using storage::Final;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxStarts = 250;
constexpr auto kErrorMemory = kMaxHeldBack;  // a task's failure on a machine keeps its job away from it
constexpr auto kMinCountedStart = 30s;       // a start that is stopped sooner is none to its users
constexpr auto kSurveyInterval = 500ms;      // between walks over the fleet for pacing and accelerators
constexpr auto kLookupInterval = 250ms;      // how long a look at the other machines serves a job
constexpr double kReservedBonus = 1e6, kSpotLoss = 100,
                 kFetchLoss = 150;  // processor seconds, when a gang's machines are chosen

}  // namespace

const MachineType* Leader::typeOf(const std::string& name) const { return findType(types_, name); }

/// Everything but the room: may one more task of the job start on this machine now?
bool Leader::mayStart(const Job& job, const Machine& machine) const {
    const auto& run = *job.run;
    if (job.final != Final::open || !job.ready() || run.waiting == 0 || run.notBefore > now_) return false;
    if (!allows(job.spec, machine.type, machine.zone, machine.spot) || !zoneAllows(job, machine.zone))
        return false;
    if (!accelerators_.allows(job, machine, now_) || zoneReservations_.keepsOut(job, machine, now_))
        return false;
    const auto failed = run.errorMachines.find(machine.id);
    if (failed != run.errorMachines.end() && now_ - failed->second < kErrorMemory &&
        run.errorMachines.size() < 3)
        return false;
    return true;
}

void Leader::refreshOrder() {
    if (!order_.refresh(replica_, fleet_, dayClock_, now_)) return;
    for (auto* job : order_.open()) {
        pacing_.admit(*job, fleet_);
        accelerators_.recordNeed(*job);
    }
}

/// What is counted over all machines that are up, now and then and not for each report.
void Leader::refreshPacing() {
    if (now_ < nextPacing_) return;
    nextPacing_ = now_ + kSurveyInterval;
    std::vector<const Machine*> up;
    for (const auto& [id, machine] : fleet_.machines())
        if (machine->reports && machine->acknowledged) up.push_back(machine.get());
    pacing_.refresh(order_.waiting(), up, fleet_, now_);
    accelerators_.refresh(up, now_);
}

/// How many of the job's waiting tasks fit on machines that have its image and report soon.
std::uint32_t Leader::roomWithImage(Job& job) {
    auto& run = *job.run;
    if (now_ < run.cachedRoomUntil) return run.roomWithImage;
    run.cachedRoomUntil = now_ + kLookupInterval;
    run.roomWithImage = 0;
    const auto soon = std::chrono::duration_cast<Clock::duration>(settings_.report * 1.5);
    const auto need = bookkeeping::needOf(job.spec);
    for (const auto* m : fleet_.withImage(job.spec.image)) {
        ++visited_;
        if (!m->kind || m->kind->cpus - m->used.cpus < need.cpus - 1e-6) continue;
        if (!usable(*m, now_) || now_ - m->lastReport > soon || !mayStart(job, *m)) continue;
        run.roomWithImage += availableRoom(*m, job, now_).times(need);
        if (run.roomWithImage >= run.waiting) break;
    }
    return run.roomWithImage;
}

/// It has not run long enough to count as a start.
bool Leader::startedRecently(const Placement& placement) const {
    return placement.runningSince == Time{} || now_ - placement.runningSince < kMinCountedStart;
}

/// The job was passed over for long and begins with this task. As the newest it would lose least of all, so
/// that it would be stopped each time and the job would never begin.
bool Leader::isProtectedStart(const Placement& placement) const {
    return placement.job->run->firstTask == placement.task && startedRecently(placement);
}

/// The work on a machine that has to yield to the job.
bool Leader::mayPreempt(const Placement& placement, const Job& job) const {
    const auto& spec = placement.job->spec;
    if (placement.job == &job || spec.kind == Kind::service || (spec.kind == Kind::gang && spec.tasks > 1))
        return false;
    if (job.priority() != Priority::production && isProtectedStart(placement)) return false;
    if (placement.job->priority() < job.priority()) return true;
    // Any other team's borrowed work yields to a guarantee.
    const auto* team = settings_.team(spec.team);
    return job.run->guaranteed && job.priority() < Priority::production && spec.team != job.spec.team &&
           team && fleet_.teamUse(spec.team).cpus > team->cpus && !placement.job->run->guaranteed;
}

/// Would fetching its image make the job miss what its users expect, while a machine that has it could take
/// it?
bool Leader::waitsForImage(Job& job) {
    auto& run = *job.run;
    if (!run.tightWait || !policy_.preempt) return false;
    const Seconds fetch = pacing_.expectedFetchTime();
    const Seconds waited = now_ - run.waitingSince;
    if (*run.tightWait >= fetch + settings_.report || waited >= *run.tightWait) return false;
    if (now_ < run.imageWaitUntil) return run.imageWait;
    run.imageWaitUntil = now_ + kLookupInterval;
    const auto need = bookkeeping::needOf(job.spec);
    const auto& machines = fleet_.withImage(job.spec.image);
    run.imageWait = std::any_of(machines.begin(), machines.end(), [&](const Machine* m) {
        ++visited_;
        return usable(*m, now_) && mayStart(job, *m) && maxRoom(*m, job, now_).covers(need);
    });
    return run.imageWait;
}

bool Leader::startOne(Machine& machine, Job& job, std::vector<Order>& orders) {
    if (orders.size() >= kMaxStarts || !mayStart(job, machine) || blockedByUnreconciled(job, fleet_))
        return false;
    if (job.spec.kind == Kind::gang && (job.spec.tasks > 1 || job.run->liveTotal > 0)) return false;
    if (!withinTeamLimit(job, 1, fleet_, types_)) return false;
    if (!availableRoom(machine, job, now_).covers(bookkeeping::needOf(job.spec))) return false;
    const auto task = job.firstWaiting();
    if (!task) return false;
    const std::uint64_t attempt = (token_ << 32) + ++attempts_;
    auto& placement = fleet_.place(machine, job, *task, attempt, PlacementState::sent, now_);
    placement.sentSequence = machine.sequence;
    if (job.run->overdue && job.run->launched == 0 && job.doneCount == 0) job.run->firstTask = *task;
    ++job.run->launched;
    if (job.spec.kind == Kind::gang) job.run->gangAttempt = attempt;
    if (machine.reservedFor == &job) fleet_.reserve(machine, nullptr);
    machine.busyUntil = now_;
    spdlog::debug("start {}/{} attempt {} on {} after report {}.{}", job.spec.id, *task, attempt, machine.id,
                  machine.session, machine.sequence);
    orders.push_back({Op::start, {job.spec.id, *task, attempt}, Seconds(0)});
    if (job.run->waiting == 0) order_.markStale();
    return true;
}

/// Gang tasks planned for this machine start: their room is kept already.
void Leader::startPlanned(Machine& machine, std::vector<Order>& orders) {
    for (auto& [key, placement] : machine.placements) {
        if (placement.state != PlacementState::planned || orders.size() >= kMaxStarts) continue;
        placement.sentSequence = machine.sequence;
        fleet_.setState(placement, PlacementState::sent, now_);
        ++placement.job->run->launched;
        orders.push_back(
            {Op::start, {placement.job->spec.id, placement.task, placement.attempt}, Seconds(0)});
    }
}

/// The design's walk over jobs of one rank: all cached tasks that fit, and one paced fetch for the whole
/// report. `fetchPlaced`: it has been started already.
void Leader::startCachedAndPaced(Machine& machine, JobSpan jobs, bool& fetchPlaced,
                                 std::vector<Order>& orders) {
    for (auto* job : jobs) {
        if (job->run->waiting == 0 || !mayStart(*job, machine)) continue;
        if (machine.hasImage(job->spec.image)) {
            while (startOne(machine, *job, orders)) {
            }
            continue;
        }
        if (waitsForImage(*job) || fetchPlaced || machine.isFetching(job->spec.image)) continue;
        if (!pacing_.allows(*job, machine, now_) || roomWithImage(*job) >= job->run->waiting) continue;
        if (!startOne(machine, *job, orders)) continue;
        fetchPlaced = true;
        pacing_.recordFetch(*job, machine.zone, now_);
    }
}

/// What room is left takes any waiting task, unless machines that have its image report soon.
void Leader::fillLeftoverRoom(Machine& machine, JobSpan jobs, std::vector<Order>& orders) {
    for (auto* job : jobs) {
        if (job->run->waiting == 0 || machine.hasImage(job->spec.image) || !mayStart(*job, machine)) continue;
        if (waitsForImage(*job)) continue;
        const auto waiting = job->run->waiting;
        const auto elsewhere = roomWithImage(*job);
        bool fetching = machine.isFetching(job->spec.image);
        for (std::uint32_t n = elsewhere; n < waiting && startOne(machine, *job, orders); ++n) {
            if (!fetching) pacing_.recordFetch(*job, machine.zone, now_);
            fetching = true;
        }
    }
}

void Leader::schedule(Machine& machine, std::vector<Order>& orders) {
    refreshOrder();
    refreshPacing();
    startPlanned(machine, orders);
    const bool full = !machine.kind || machine.kind->cpus - machine.used.cpus < order_.minCpus() - 1e-6;
    bool fetchPlaced = false;
    // One rank after the other, so that a low job's cached tasks do not take the room of a high one's fetch.
    const auto& jobs = order_.waiting();
    for (auto first = jobs.begin(); first != jobs.end();) {
        const int rank = rankOf(**first);
        const auto last =
            std::find_if(first, jobs.end(), [&](const Job* job) { return rankOf(*job) != rank; });
        const JobSpan ofRank(first, last);
        if (!full) startCachedAndPaced(machine, ofRank, fetchPlaced, orders);
        if (rank >= static_cast<int>(Priority::high))
            for (const auto* job : ofRank) reserveFreedRoom(machine, *job);
        if (!full) fillLeftoverRoom(machine, ofRank, orders);
        first = last;
    }
}

/// Room that comes free a little at a time would go to small low tasks for ever. One machine per waiting task
/// of a high job keeps it, which mostly spares stopping anything.
void Leader::reserveFreedRoom(Machine& machine, const Job& job) {
    const auto& run = *job.run;
    if (run.waiting == 0 || machine.isReserved(now_)) return;
    if (job.spec.kind == Kind::gang && job.spec.tasks > 1) return;
    if (!mayStart(job, machine) || blockedByUnreconciled(job, fleet_) ||
        !withinTeamLimit(job, 1, fleet_, types_))
        return;
    const auto need = bookkeeping::needOf(job.spec);
    if (!maxRoom(machine, job, now_).covers(need) || availableRoom(machine, job, now_).covers(need)) return;
    if (fleet_.reservations(job, now_) >= run.waiting) return;
    fleet_.reserve(machine, &job, now_ + std::chrono::duration_cast<Clock::duration>(settings_.report * 3),
                   true);
}

// --- gangs of several tasks: whole or not at all ----------------------------------------------------------

void Leader::planGangs() {
    if (now_ < nextGangs_) return;
    nextGangs_ = now_ + 200ms;
    std::vector<Machine*> machines;
    for (const auto& [id, m] : fleet_.machines())
        if (m->kind && m->kind->cpus - m->used.cpus >= order_.minCpus() - 1e-6 && usable(*m, now_))
            machines.push_back(m.get());
    for (auto* job : std::vector<Job*>(order_.waiting())) {
        const auto& run = *job->run;
        if (job->spec.kind != Kind::gang || job->spec.tasks < 2 || job->final != Final::open) continue;
        if (run.waiting == 0 || run.notBefore > now_ || !mayComplete(*job)) continue;
        if (blockedByUnreconciled(*job, fleet_) || !withinTeamLimit(*job, run.waiting, fleet_, types_))
            continue;
        if (!job->spec.oneZone) {
            planGang(*job, machines, nullptr);
            continue;
        }
        for (const auto& zone : settings_.zones)
            if (zoneAllows(*job, zone) && planGang(*job, machines, &zone)) break;
    }
}

/// A gang begins as a whole. One that lost a task before it began takes a replacement under the same attempt
/// number, as the others go on waiting for it; a new leader completes a gang that the old one half started.
bool Leader::mayComplete(const Job& job) {
    if (job.run->liveTotal == 0) return true;
    if (job.run->liveTotal + job.run->waiting != job.spec.tasks || job.run->running > 0) return false;
    const auto placements = fleet_.placementsOf(job);
    return std::all_of(placements.begin(), placements.end(), [&](const auto& at) {
        const auto& p = *at.second;
        return !p.stopping && p.attempt == job.run->gangAttempt && p.state <= PlacementState::waiting &&
               (p.state != PlacementState::waiting || Seconds(now_ - p.since) < settings_.gangWait * 0.3);
    });
}

bool Leader::planGang(Job& job, const std::vector<Machine*>& machines, const std::string* zone) {
    const auto need = bookkeeping::needOf(job.spec);
    const auto wanted = job.run->waiting;
    struct Option {
        Machine* machine;
        std::uint32_t room;
        int merit;
        bool cached;
    };
    std::vector<Option> options;
    std::uint32_t total = 0, cachedTotal = 0;
    for (auto* m : machines) {
        if ((zone && m->zone != *zone) || m->kind->gpus - m->used.gpus < need.gpus - 1e-6 ||
            m->kind->cpus - m->used.cpus < need.cpus - 1e-6)
            continue;
        if (!mayStart(job, *m)) continue;
        if (job.run->liveTotal > 0 && job.run->machinesLeft.contains(m->id)) continue;
        const auto room = availableRoom(*m, job, now_).times(need);
        if (room == 0) continue;
        total += room;
        // One spot machine that is taken back stops the whole gang.
        const bool cached = m->hasImage(job.spec.image);
        const int merit = (m->reservedFor == &job ? 4 : 0) + (m->spot ? 0 : 2) + cached;
        if (cached) cachedTotal += room;
        options.push_back({m, room, merit, cached});
    }
    if (total < wanted) return false;
    // A gang waits for its slowest fetch, so the image counts most where none of its tasks has to fetch.
    if (cachedTotal >= wanted)
        for (auto& option : options) option.merit += option.cached ? 8 : 0;
    std::stable_sort(options.begin(), options.end(),
                     [](const Option& a, const Option& b) { return a.merit > b.merit; });
    std::vector<Machine*> chosen;
    std::map<std::string, std::uint32_t> perZone;
    const auto zoneMost = job.spec.spread ? (job.spec.tasks + 1) / 2 : job.spec.tasks;
    for (const auto& option : options) {
        auto& here = perZone.try_emplace(option.machine->zone, 0).first->second;
        const auto found = job.run->zones.find(option.machine->zone);
        const auto there = here + (found == job.run->zones.end() ? 0 : found->second);
        const auto left = static_cast<std::uint32_t>(wanted - chosen.size());
        const auto count = std::min({option.room, zoneMost - std::min(zoneMost, there), left});
        here += count;
        chosen.insert(chosen.end(), count, option.machine);
    }
    if (chosen.size() < wanted) return false;
    const bool fresh = job.run->liveTotal == 0;
    if (fresh) {
        job.run->gangAttempt = (token_ << 32) + ++attempts_;
        job.run->machinesLeft.clear();
    }
    std::uint32_t task = 0;
    for (auto* machine : chosen) {
        while (!job.isWaiting(task)) ++task;
        fleet_.place(*machine, job, task, job.run->gangAttempt, PlacementState::planned, now_);
        if (machine->reservedFor == &job) fleet_.reserve(*machine, nullptr);
    }
    zoneReservations_.release(job);
    order_.markStale();
    return true;
}

// --- preemption -------------------------------------------------------------------------------------------

/// How long a job may wait for room to come free by itself: a small part of what its users expect.
Seconds Leader::preemptionDelay(const Job& job) const {
    Seconds patience = settings_.report * 1.5;
    // Neither replicas' room nor whole machines come free by waiting.
    const bool hurried = job.priority() == Priority::production || job.spec.gpus > 0;
    if (hurried) patience = Seconds(0.2);
    if (const auto& wait = job.run->tightWait)
        patience = hurried || *wait < settings_.report * 3 ? std::min(patience, *wait * 0.1) : *wait * 0.35;
    return patience;
}

/// Room is made for a few jobs at a time, going on next time where the budget of machines to look at ended.
void Leader::preempt() {
    constexpr int kMaxAtOnce = 12;
    // Enough for some jobs in any fleet: a round over all that wait must take a few seconds at most, or what
    // is kept for one of them would lapse before its next turn.
    const auto mostVisits = std::max<std::uint64_t>(6000, fleet_.machines().size() * 12);
    const auto visitedBefore = visited_;
    int made = 0;
    const auto jobs = order_.waiting();
    // Production has its turn each time.
    const auto production = static_cast<std::size_t>(
        std::find_if(jobs.begin(), jobs.end(),
                     [&](const Job* job) { return rankOf(*job) < kProductionRank; }) -
        jobs.begin());
    if (preemptFrom_ >= jobs.size()) preemptFrom_ = 0;
    const auto resume = std::max(production, std::exchange(preemptFrom_, 0));
    for (std::size_t i = 0; i < production + jobs.size() - resume; ++i) {
        const auto at = i < production ? i : resume + i - production;
        if (made >= kMaxAtOnce || visited_ - visitedBefore > mostVisits) {
            preemptFrom_ = std::max(at, resume);
            return;
        }
        auto* job = jobs[at];
        const auto& run = *job->run;
        if (job->priority() <= Priority::normal && !run.guaranteed) continue;
        if (job->final != Final::open || run.waiting == 0 || run.notBefore > now_) continue;
        if (Seconds(now_ - run.waitingSince) < preemptionDelay(*job)) continue;
        const bool gang = job->spec.kind == Kind::gang && job->spec.tasks > 1;
        if (blockedByUnreconciled(*job, fleet_) ||
            !withinTeamLimit(*job, gang ? run.waiting : 1, fleet_, types_))
            continue;
        made += gang ? makeRoomForGang(*job) : makeRoomFor(*job);
    }
}

/// What would have to stop on the machine, losing least, for `tasks` tasks of the job; none: it can't be.
std::optional<Leader::PreemptionPlan> Leader::planPreemption(Machine& machine, const Job& job,
                                                             std::uint32_t tasks) {
    visited_ += 10;
    auto need = bookkeeping::needOf(job.spec);
    need = {need.cpus * tasks, need.gpus * tasks, need.memoryGb * tasks};
    PreemptionPlan plan{&machine, {}, machine.hasImage(job.spec.image) ? 0.0 : 10.0, tasks};
    auto room = availableRoom(machine, job, now_);
    std::vector<std::pair<double, Placement*>> victims;
    for (auto& [key, p] : machine.placements) {
        const auto& spec = p.job->spec;
        if (p.stopping) {
            room += bookkeeping::needOf(spec);
            continue;
        }
        if (!mayPreempt(p, job)) continue;
        double lost = p.state == PlacementState::running ? Seconds(now_ - p.runningSince).count() : 0;
        if (spec.gpus > 0 && job.spec.gpus <= 0) lost += 1000;  // hard to place anew
        if (spec.checkpoint > Seconds(0)) lost = std::min(lost, spec.save.count() + 5);
        if (isProtectedStart(p)) lost += 1000;
        victims.emplace_back(lost * std::max(spec.cpus, 0.1) + 1, &p);
    }
    std::sort(victims.begin(), victims.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [loss, victim] : victims) {
        if (room.covers(need)) break;
        room += bookkeeping::needOf(victim->job->spec);
        plan.loss += loss;
        plan.victims.push_back(victim);
    }
    return room.covers(need) ? std::optional(std::move(plan)) : std::nullopt;
}

void Leader::execute(const PreemptionPlan& plan, Job& job, Clock::duration until) {
    auto& machine = *plan.machine;
    spdlog::debug("room for {} of {} {} on {}: {} tasks stop", plan.tasks, job.spec.id, job.spec.jobClass,
                  machine.id, plan.victims.size());
    for (auto* victim : plan.victims) stop(machine, *victim, victim->job->spec.save);
    fleet_.reserve(machine, &job, now_ + until, false, plan.tasks);
}

/// Counts the machine towards the room that the job will have without stopping more, or keeps it as one where
/// something could be stopped.
void Leader::surveyMachine(Machine& machine, const Job& job, RoomSurvey& survey) {
    ++visited_;
    if (!machine.kind || !usable(machine, now_)) return;
    const bool made = machine.isReserved(now_) && !machine.holding;
    if (made && machine.reservedFor != &job) return;
    if (!mayStart(job, machine)) return;
    const auto need = bookkeeping::needOf(job.spec);
    if (made) {
        ++survey.zones[machine.zone];
        ++survey.coming;
    } else if (const auto room = availableRoom(machine, job, now_).times(need); room > 0) {
        survey.coming += room;  // it will be placed with that machine's report
    } else if (maxRoom(machine, job, now_).covers(need)) {
        survey.candidates.push_back(&machine);
    }
}

/// Looks for room on the machines that the job may wait for: those with its image if it should wait for one
/// of them, else all, until enough is found.
Leader::RoomSurvey Leader::surveyRoom(Job& job) {
    RoomSurvey survey{0, job.run->zones, {}};
    if (waitsForImage(job)) {
        for (auto* machine : fleet_.withImage(job.spec.image)) surveyMachine(*machine, job, survey);
        return survey;
    }
    for (const auto& [id, machine] : fleet_.machines()) {
        surveyMachine(*machine, job, survey);
        if (survey.coming >= job.run->waiting) break;
    }
    return survey;
}

/// Frees room for tasks of the job by stopping lower work where that loses least.
int Leader::makeRoomFor(Job& job) {
    constexpr std::size_t kMaxWeighed = 40;
    constexpr std::size_t kMaxAtOnce = 6;
    auto [coming, zones, candidates] = surveyRoom(job);
    if (coming >= job.run->waiting) return 0;
    auto wanted = std::min(job.run->waiting - coming, kMaxAtOnce);
    std::vector<PreemptionPlan> plans;
    const auto offset = candidates.empty() ? 0 : turn_++ % candidates.size();
    for (std::size_t i = 0; i < std::min(candidates.size(), kMaxWeighed); ++i)
        if (auto found = planPreemption(*candidates[(offset + i) % candidates.size()], job, 1))
            plans.push_back(std::move(*found));
    std::sort(plans.begin(), plans.end(), [](const auto& a, const auto& b) { return a.loss < b.loss; });
    const std::uint32_t zoneMost = job.spec.spread ? (job.spec.tasks + 1) / 2 : job.spec.tasks;
    const auto until = std::chrono::duration_cast<Clock::duration>(settings_.report * 4 + job.spec.save);
    int made = 0;
    for (const auto& plan : plans) {
        if (wanted == 0) break;
        if (job.spec.oneZone && !zones.empty() && !zones.contains(plan.machine->zone)) continue;
        if (zones[plan.machine->zone] >= zoneMost) continue;
        ++zones[plan.machine->zone];
        execute(plan, job, until);
        --wanted;
        ++made;
    }
    return made;
}

/// What machines in the zone, all zones if it is empty, offer a gang.
Leader::GangRoom Leader::gangRoomIn(const std::string& zone, const Job& job) {
    const auto need = bookkeeping::needOf(job.spec);
    GangRoom room;
    room.zone = zone;
    std::uint32_t yielding = 0;
    std::uint32_t possible = 0;
    for (const auto& [id, machine] : fleet_.machines()) {
        if (!zone.empty() && machine->zone != zone) continue;
        if (!machine->kind || machine->kind->gpus < need.gpus) continue;
        ++visited_;
        if (!usable(*machine, now_)) continue;
        const auto size = bookkeeping::sizeOf(*machine->kind);
        if (allows(job.spec, machine->type, machine->zone, machine->spot))
            possible += (size - machine->plainUse[4]).times(need);
        if (!size.covers(need) || !mayStart(job, *machine)) continue;
        if (machine->isReserved(now_) && !machine->holding && machine->reservedFor != &job) continue;
        const auto tasks = maxRoom(*machine, job, now_).times(need);
        if (tasks == 0) continue;
        room.free += availableRoom(*machine, job, now_).times(need);
        yielding += tasks;
        room.machines.push_back({machine.get(), tasks});
    }
    room.yielding = std::min(yielding, job.spec.tasks);
    room.possible = std::min(possible, job.spec.tasks);
    return room;
}

/// The zone that offers a gang most, or what all zones offer together if it need not be in one.
Leader::GangRoom Leader::bestGangRoom(const Job& job) {
    const auto zones = job.spec.oneZone ? settings_.zones : std::vector<std::string>{""};
    GangRoom best;
    for (const auto& zone : zones) {
        auto room = gangRoomIn(zone, job);
        if (room.merit() > best.merit()) best = std::move(room);
    }
    return best;
}

/// What would stop on each machine for the gang, those first that lose least for a task.
std::vector<Leader::PreemptionPlan> Leader::plansForGang(const Job& job, const GangRoom& room) {
    std::vector<PreemptionPlan> plans;
    for (const auto& [machine, tasks] : room.machines) {
        auto plan = planPreemption(*machine, job, std::min(tasks, job.spec.tasks));
        if (!plan) continue;
        // Machines kept for it come first; a spot machine that is taken back would stop the whole gang.
        if (machine->reservedFor == &job) plan->loss -= kReservedBonus;
        if (machine->spot) plan->loss += kSpotLoss * plan->tasks;
        if (!machine->hasImage(job.spec.image)) plan->loss += kFetchLoss * plan->tasks;
        plans.push_back(std::move(*plan));
    }
    std::sort(plans.begin(), plans.end(),
              [](const auto& a, const auto& b) { return a.loss / a.tasks < b.loss / b.tasks; });
    return plans;
}

/// Makes room for a gang, whole or not at all: only where free room and what yields make up all of it. A gang
/// that is passed over for long, as smaller ones take each machine that comes free, bespeaks a zone: until it
/// has enough there, other work that needs what it needs goes elsewhere. Lower work goes on meanwhile. There
/// is one such gang at a time, so that no two wait for each other's halves.
int Leader::makeRoomForGang(Job& job) {
    if (job.run->liveTotal > 0) return 0;
    const auto room = bestGangRoom(job);
    if (room.yielding < job.spec.tasks) {
        // Unless more machines have to come first.
        if (room.possible >= job.spec.tasks) zoneReservations_.reserve(job, room.zone, now_);
        return 0;
    }
    const auto plans = plansForGang(job, room);
    const auto until = std::chrono::duration_cast<Clock::duration>(settings_.report * 3 + job.spec.save);
    std::uint32_t got = 0;
    for (const auto& plan : plans) {
        if (got >= job.spec.tasks) break;
        got += plan.tasks;
    }
    if (got < job.spec.tasks) return 0;
    got = 0;
    for (const auto& plan : plans) {
        if (got >= job.spec.tasks) break;
        got += plan.tasks;
        execute(plan, job, until);
    }
    return 1;
}

}  // namespace burlpoint::coordination
