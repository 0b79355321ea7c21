// Degraded-first placement: DESIGN's rule on each report, and what the rules and the deployments add to it.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <tuple>

#include "coordination/leader.h"

namespace burlpoint::coordination {

using bookkeeping::RosterState;
using protocol::Kind;
using protocol::Op;
using storage::Final;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxStarts = 250;
// Nothing may wait for 90 s beside room that it fits in, whatever speaks for keeping it from there.
constexpr auto kMaxHeldBack = 60s;
constexpr auto kErrorMemory = kMaxHeldBack;  // a task's failure on a machine keeps its job away from it
constexpr auto kReservationTurn = 60s;       // a zone is kept for a gang for so long,
constexpr auto kReservationGap = 30s;        // then what has waited has its turn there, and so on
constexpr auto kReservationGapMinWait = 20s;
constexpr auto kMinCountedStart = 30s;  // a start that is stopped sooner is none to its users
constexpr std::size_t kFaultyAfterJobs = 2;
constexpr auto kPlainMachinesOnly = 12s;  // how long a replica waits for a machine without accelerators
constexpr auto kLookupInterval = 250ms;   // how long a look at the other machines serves a job
constexpr double kReservedBonus = 1e6, kSpotLoss = 100,
                 kFetchLoss = 150;      // processor seconds, when a gang's machines are chosen
constexpr auto kZoneReservation = 10s;  // renewed while the gang waits
constexpr int kProductionRank = 10, kOverdueRank = 6, kGuaranteedRank = 5;

}  // namespace

const MachineType* Leader::typeOf(const std::string& name) const { return findType(types_, name); }

bool Leader::usable(const Machine& m) const {
    // A machine without a stored roster entry would be unknown to the next leader, tasks and all.
    return m.acknowledged && m.reports && m.roster == RosterState::stored && !m.draining && !m.releasing &&
           !m.failed && !m.recallAt && !m.unreachableSince && m.quietUntil <= now_ &&
           m.errorJobs.size() < kFaultyAfterJobs && m.kind;
}

bool Leader::allows(const Job& job, const std::string& type, const std::string& zone, bool spot) const {
    return coordination::allows(job.spec, type, zone, spot);
}

/// Could an attempt that an earlier leader started be on a machine not heard from yet?
bool Leader::blockedByUnreconciled(const Job& job) const {
    if (!job.run->inherited) return false;
    const auto& offerings = fleet_.unreconciled();
    return std::any_of(offerings.begin(), offerings.end(), [&](const auto& entry) {
        return allows(job, entry.first.type, entry.first.zone, entry.first.spot);
    });
}

bool Leader::withinTeamLimit(const Job& job, std::uint32_t tasks) const {
    const auto* team = job.run->team;
    if (!team) return false;
    if (team->cpusMax <= 0 && team->gpusMax <= 0) return true;
    auto use = fleet_.teamUse(team->name);
    // Until a machine has been heard, it may be full of this team's tasks.
    for (const auto& [offering, count] : fleet_.unreconciled())
        if (const auto* type = typeOf(offering.type))
            use += {type->cpus * count, type->gpus * count, type->memoryGb * count};
    constexpr double kSlack = 1e-6;
    const auto fits = [&](double used, double need, double most) {
        return most <= 0 || used + need * tasks <= most + kSlack;
    };
    return fits(use.cpus, job.spec.cpus, team->cpusMax) && fits(use.gpus, job.spec.gpus, team->gpusMax);
}

bool Leader::zoneAllows(const Job& job, const std::string& zone) const {
    const auto& zones = job.run->zones;
    if (job.spec.oneZone && !zones.empty() && (zones.size() > 1 || !zones.contains(zone))) return false;
    if (job.spec.spread) {
        const auto found = zones.find(zone);
        const std::uint32_t here = found == zones.end() ? 0 : found->second;
        if (here + 1 > (job.spec.tasks + 1) / 2) return false;
    }
    return true;
}

Resources Leader::availableRoom(const Machine& machine, const Job& job) const {
    if (!machine.kind) return {};
    auto room = bookkeeping::sizeOf(*machine.kind) - machine.used;
    if (machine.reservedFor != &job && machine.isReserved(now_)) {
        const auto* holder = machine.reservedFor;
        // Room that work was stopped for is not for other work of no higher priority, whatever its rank:
        // guaranteed tasks would fill it again and again, to be stopped once more.
        const bool kept =
            rankOf(*holder) >= rankOf(job) || (!machine.holding && holder->priority() >= job.priority());
        if (holder->run && holder->run->waiting > 0 && kept) {
            const auto need = bookkeeping::needOf(holder->spec);
            room -= {need.cpus * machine.reserved, need.gpus * machine.reserved,
                     need.memoryGb * machine.reserved};
        }
    }
    return room;
}

/// Everything but the room: may one more task of the job start on this machine now?
bool Leader::mayStart(const Job& job, const Machine& machine) const {
    const auto& run = *job.run;
    if (job.final != Final::open || !job.ready() || run.waiting == 0 || run.notBefore > now_) return false;
    if (!allows(job, machine.type, machine.zone, machine.spot) || !zoneAllows(job, machine.zone))
        return false;
    if (!acceleratorRoomAllows(job, machine) || reservedForOther(job, machine)) return false;
    const auto failed = run.errorMachines.find(machine.id);
    if (failed != run.errorMachines.end() && now_ - failed->second < kErrorMemory &&
        run.errorMachines.size() < 3)
        return false;
    return true;
}

/// None of the job's tasks has been on a machine for that time.
bool Leader::hasWaitedUnstarted(const Job& job, Clock::duration time) const {
    return job.run->liveTotal == 0 && now_ - job.run->waitingSince >= time;
}

/// Machines with accelerators are few and slow to come by. Work that needs none may use them, but only so far
/// that a job that does need them can still have the room: at once, or by stopping lower work.
bool Leader::acceleratorRoomAllows(const Job& job, const Machine& machine) const {
    const auto* type = machine.kind;
    if (!type || type->gpus <= 0 || job.spec.gpus > 0 || hasWaitedUnstarted(job, kMaxHeldBack)) return true;
    const bool service = job.spec.kind == Kind::service;
    // A replica stays for as long as its service does, and would hold the dear machine for all that time.
    if (service && now_ - job.run->waitingSince < kPlainMachinesOnly && plainMachineRentable(job))
        return false;
    const auto found = acceleratorNeeds_.find(machine.type);
    if (found == acceleratorNeeds_.end())
        return job.priority() < Priority::high || service || needsAcceleratorMachine(job);
    const auto& [need, priority] = found->second;
    if (job.priority() < priority && !service) return true;
    auto room = bookkeeping::sizeOf(*type) - bookkeeping::needOf(job.spec) - machine.plainUse[4];
    for (auto p = static_cast<std::size_t>(priority); p < 4; ++p) room -= machine.plainUse[p];
    if (room.covers(need)) return true;
    if (!service || plainMachineRentable(job)) return false;
    const auto plain = plainRoom_.find({machine.zone, machine.spot});
    if (plain != plainRoom_.end() && plain->second > 4 * job.spec.cpus) return false;
    // Replicas have nowhere else to go. They share machines that others have given over to them, and take
    // more as long as the cloud has more, or up to an eighth of them all.
    if (!(room + bookkeeping::needOf(job.spec)).covers(need)) return true;
    const auto given = sharedWithServices_.find(machine.type);
    const bool few = given == sharedWithServices_.end() || given->second.first * 8 < given->second.second;
    return machine.used.gpus <= 0 && (few || !allOfferingsRefused(machine.type));
}

/// The cloud has lately refused machines of this type, in every zone.
bool Leader::allOfferingsRefused(const std::string& type) const {
    const auto* known = typeOf(type);
    return known && provisioner_.refusals().refusedEverywhere(*known, now_);
}

/// Some machine without accelerators that the job may use can still be rented.
bool Leader::plainMachineRentable(const Job& job) const {
    return coordination::plainMachineRentable(job.spec, types_, provisioner_.refusals(), now_);
}

/// The most that jobs with accelerators have asked of each machine type, and the lowest of their priorities.
void Leader::recordAcceleratorNeed(const Job& job) {
    if (job.spec.gpus <= 0) return;
    const auto need = bookkeeping::needOf(job.spec);
    for (const auto& [name, type] : types_) {
        if (!bookkeeping::sizeOf(type).covers(need)) continue;
        if (job.spec.types &&
            std::find(job.spec.types->begin(), job.spec.types->end(), name) == job.spec.types->end())
            continue;
        auto [at, fresh] = acceleratorNeeds_.try_emplace(name, need, job.priority());
        auto& [most, priority] = at->second;
        most = {std::max(most.cpus, need.cpus), std::max(most.gpus, need.gpus),
                std::max(most.memoryGb, need.memoryGb)};
        priority = std::min(priority, job.priority());
    }
}

/// Production first, then what teams are guaranteed, then by priority.
int Leader::rankOf(const Job& job) const { return job.run ? job.run->rank : 0; }

void Leader::refreshOrder() {
    if (!orderStale_ || now_ < nextOrder_) return;
    orderStale_ = false;
    replica_.updateUrgency();
    nextOrder_ = now_ + 100ms;
    std::sort(open_.begin(), open_.end(),
              [](const Job* a, const Job* b) { return a->accepted < b->accepted; });
    order_.clear();
    minCpus_ = std::numeric_limits<double>::max();
    std::unordered_map<std::string_view, Resources> teams;
    constexpr double kLast = 1e18;
    for (auto* job : open_) {
        auto& run = *job->run;
        const auto& spec = job->spec;
        fleet_.setPriority(*job, job->urgency);
        auto& demand = teams[spec.team];
        const auto unfinished = spec.tasks - job->doneCount;
        demand += {spec.cpus * unfinished, spec.gpus * unfinished, 0};
        const auto* team = run.team;
        // "A value of 0 means none": with no guarantee of accelerators, work that needs them has none.
        run.guaranteed = team && (team->cpus > 0 || team->gpus > 0) && demand.cpus <= team->cpus + 1e-6 &&
                         demand.gpus <= team->gpus + 1e-6;
        const bool production = run.priority == Priority::production;
        run.rank = production       ? kProductionRank
                   : run.guaranteed ? kGuaranteedRank
                                    : static_cast<int>(run.priority);
        if (!run.admitted) admit(*job);
        recordAcceleratorNeed(*job);
        if (run.waiting == 0) continue;
        order_.push_back(job);
        minCpus_ = std::min(minCpus_, spec.cpus);
        // Within a rank by arrival. Where deadlines count, what is soonest through goes first, so that as
        // many jobs as possible meet theirs, and what can no longer meet its own goes last.
        run.place = kLast / 2;
        // A deadline handed down by a job that needs this one is never past saving: more than this job hangs
        // on it.
        const Seconds age = now_ - run.readyAt;
        if (job->dueMs)
            run.place = spec.deadline && Seconds(dueAt(*job) - now_) < spec.estimate * 0.8
                            ? kLast
                            : run.waiting * spec.cpus * spec.estimate.count();
        // But nothing is passed over for ever: what has waited for long goes first, by arrival.
        run.overdue = age > policy_.longestPassedOver;
        if (run.overdue) {
            run.place = -1;
            if (!run.began() && job->doneCount == 0) run.rank = std::max(run.rank, kOverdueRank);
        }
    }
    std::stable_sort(order_.begin(), order_.end(), [](const Job* a, const Job* b) {
        return std::pair(-a->run->rank, a->run->place) < std::pair(-b->run->rank, b->run->place);
    });
}

/// Md: the job's tasks times the share of up machines that lack its image as it is admitted.
void Leader::admit(Job& job) {
    if (machinesUp_ == 0) return;
    const auto& having = fleet_.withImage(job.spec.image);
    const auto has = std::count_if(having.begin(), having.end(),
                                   [](const auto* m) { return m->reports && m->acknowledged; });
    const double lacking = 1 - std::min(1.0, static_cast<double>(has) / static_cast<double>(machinesUp_));
    job.run->admitted = true;
    job.run->pacedTotal = job.spec.tasks * lacking;
}

// ts and E[ts]: the cached-task time of a machine is the work waiting for images that it has, each image's
// work shared by the processors of all machines that have it.
void Leader::refreshPacing() {
    if (now_ < nextPacing_) return;
    nextPacing_ = now_ + 500ms;
    imageWork_.clear();
    for (const auto* job : order_) {
        const double estimate = std::max(job->spec.estimate.count(), 0.0);
        imageWork_[job->spec.image] += job->run->waiting * job->spec.cpus * estimate;
    }
    for (auto& [image, work] : imageWork_) {
        double processors = 0;
        for (const auto* m : fleet_.withImage(image))
            if (m->reports && m->kind) processors += m->kind->cpus;
        work = processors > 0 ? work / processors : 0;
    }
    machinesUp_ = 0;
    sharedWithServices_.clear();
    plainRoom_.clear();
    liveZones_.clear();
    double sum = 0;
    for (const auto& [id, m] : fleet_.machines()) {
        if (!m->reports || !m->acknowledged) continue;
        ++machinesUp_;
        if (m->kind && m->kind->gpus <= 0 && usable(*m)) {
            auto& room = plainRoom_[{m->zone, m->spot}];
            room += m->kind->cpus - m->used.cpus;
            for (const auto& stoppable : m->stoppable) room += stoppable.cpus;
            room -= m->stoppable.back().cpus;  // production is not stopped
        }
        if (const auto need = acceleratorNeeds_.find(m->type); need != acceleratorNeeds_.end() && m->kind) {
            auto& [given, all] = sharedWithServices_[m->type];
            ++all;
            const auto left = bookkeeping::sizeOf(*m->kind) - m->plainUse[4];
            given += !left.covers(need->second.first);
        }
        sum += cachedSeconds(*m);
        // Only zones that report count: one that is cut off would raise the mean for all others.
        if (now_ - m->lastReport < std::chrono::duration_cast<Clock::duration>(settings_.report * 3))
            liveZones_.insert(m->zone);
    }
    meanCachedSeconds_ = machinesUp_ ? sum / static_cast<double>(machinesUp_) : 0;
}

double Leader::cachedSeconds(const Machine& machine) const {
    double seconds = 0;
    for (const auto& [image, gb] : machine.images) {
        const auto found = imageWork_.find(image);
        if (found != imageWork_.end()) seconds += found->second;
    }
    return seconds;
}

/// m/M >= md/Md, a machine with time to spare, and a zone that did not just start a fetch.
bool Leader::paceAllows(const Job& job, const Machine& machine) {
    const auto& run = *job.run;
    if (run.pacedTotal > 0 && run.launched * run.pacedTotal < run.paced * static_cast<double>(job.spec.tasks))
        return false;
    if (cachedSeconds(machine) > meanCachedSeconds_ + 1e-9) return false;
    const auto own = zoneFetch_.find(machine.zone);
    if (own == zoneFetch_.end()) return true;
    double sum = 0;
    std::size_t count = 0;
    for (const auto& zone : liveZones_) {
        const auto last = zoneFetch_.find(zone);
        if (last == zoneFetch_.end()) continue;
        sum += Seconds(now_ - last->second).count();
        ++count;
    }
    const double mean = count ? sum / static_cast<double>(count) : 0;
    const double threshold = fetchesSeen_ ? meanFetch_ : policy_.fetchStart.count();
    return Seconds(now_ - own->second).count() >= std::min(mean, threshold);
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
        if (!usable(*m) || now_ - m->lastReport > soon || !mayStart(job, *m)) continue;
        run.roomWithImage += availableRoom(*m, job).times(need);
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
    const Seconds fetch(fetchesSeen_ ? meanFetch_ : policy_.fetchStart.count());
    const Seconds waited = now_ - run.waitingSince;
    if (*run.tightWait >= fetch + settings_.report || waited >= *run.tightWait) return false;
    if (now_ < run.imageWaitUntil) return run.imageWait;
    run.imageWaitUntil = now_ + kLookupInterval;
    const auto need = bookkeeping::needOf(job.spec);
    const auto& machines = fleet_.withImage(job.spec.image);
    run.imageWait = std::any_of(machines.begin(), machines.end(), [&](const Machine* m) {
        ++visited_;
        return usable(*m) && mayStart(job, *m) && maxRoom(*m, job).covers(need);
    });
    return run.imageWait;
}

/// The room that the job could have on a machine if everything that might yield to it did.
Resources Leader::maxRoom(const Machine& machine, const Job& job) const {
    auto room = availableRoom(machine, job);
    // A guarantee may be given back by work of any priority.
    const auto below =
        job.run->guaranteed ? machine.stoppable.size() : static_cast<std::size_t>(job.priority());
    for (std::size_t p = 0; p < below; ++p) room += machine.stoppable[p];
    return room;
}

void Leader::recordFetch(Machine& machine, Job& job) {
    ++job.run->paced;
    zoneFetch_[machine.zone] = now_;
}

bool Leader::startOne(Machine& machine, Job& job, std::vector<Order>& orders) {
    if (orders.size() >= kMaxStarts || !mayStart(job, machine) || blockedByUnreconciled(job)) return false;
    if (job.spec.kind == Kind::gang && (job.spec.tasks > 1 || job.run->liveTotal > 0)) return false;
    if (!withinTeamLimit(job, 1)) return false;
    if (!availableRoom(machine, job).covers(bookkeeping::needOf(job.spec))) return false;
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
    orderStale_ |= job.run->waiting == 0;
    return true;
}

void Leader::schedule(Machine& machine, std::vector<Order>& orders) {
    refreshOrder();
    refreshPacing();
    // Gang tasks planned for this machine go first: their room is kept already.
    for (auto& [key, p] : machine.placements) {
        if (p.state != PlacementState::planned || orders.size() >= kMaxStarts) continue;
        p.sentSequence = machine.sequence;
        fleet_.setState(p, PlacementState::sent, now_);
        ++p.job->run->launched;
        orders.push_back({Op::start, {p.job->spec.id, p.task, p.attempt}, Seconds(0)});
    }
    const bool full = !machine.kind || machine.kind->cpus - machine.used.cpus < minCpus_ - 1e-6;
    bool fetchPlaced = false;
    // One rank after the other, so that a low job's cached tasks do not take the room of a high one's fetch.
    for (auto first = order_.begin(); first != order_.end();) {
        const int rank = rankOf(**first);
        const auto last =
            std::find_if(first, order_.end(), [&](const Job* job) { return rankOf(*job) != rank; });
        for (auto at = first; at != last && !full; ++at) {
            Job& job = **at;
            if (job.run->waiting == 0 || !mayStart(job, machine)) continue;
            if (machine.hasImage(job.spec.image)) {
                while (startOne(machine, job, orders)) {
                }
            } else if (waitsForImage(job)) {
                continue;
            } else if (!fetchPlaced && !machine.isFetching(job.spec.image) && paceAllows(job, machine) &&
                       roomWithImage(job) < job.run->waiting && startOne(machine, job, orders)) {
                fetchPlaced = true;
                recordFetch(machine, job);
            }
        }
        if (rank >= static_cast<int>(Priority::high))
            for (auto at = first; at != last; ++at) reserveFreedRoom(machine, **at);
        // What room is left takes any waiting task, unless machines that have its image report soon.
        for (auto at = first; at != last && !full; ++at) {
            Job& job = **at;
            if (job.run->waiting == 0 || machine.hasImage(job.spec.image) || !mayStart(job, machine))
                continue;
            if (waitsForImage(job)) continue;
            const auto waiting = job.run->waiting;
            const auto elsewhere = roomWithImage(job);
            bool fetching = machine.isFetching(job.spec.image);
            for (std::uint32_t n = elsewhere; n < waiting && startOne(machine, job, orders); ++n) {
                if (!fetching) recordFetch(machine, job);
                fetching = true;
            }
        }
        first = last;
    }
}

/// Room that comes free a little at a time would go to small low tasks for ever. One machine per waiting task
/// of a high job keeps it, which mostly spares stopping anything.
void Leader::reserveFreedRoom(Machine& machine, const Job& job) {
    const auto& run = *job.run;
    if (run.waiting == 0 || machine.isReserved(now_)) return;
    if (job.spec.kind == Kind::gang && job.spec.tasks > 1) return;
    if (!mayStart(job, machine) || blockedByUnreconciled(job) || !withinTeamLimit(job, 1)) return;
    const auto need = bookkeeping::needOf(job.spec);
    if (!maxRoom(machine, job).covers(need) || availableRoom(machine, job).covers(need)) return;
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
        if (m->kind && m->kind->cpus - m->used.cpus >= minCpus_ - 1e-6 && usable(*m))
            machines.push_back(m.get());
    for (auto* job : std::vector<Job*>(order_)) {
        const auto& run = *job->run;
        if (job->spec.kind != Kind::gang || job->spec.tasks < 2 || job->final != Final::open) continue;
        if (run.waiting == 0 || run.notBefore > now_ || !mayComplete(*job)) continue;
        if (blockedByUnreconciled(*job) || !withinTeamLimit(*job, run.waiting)) continue;
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
        const auto room = availableRoom(*m, job).times(need);
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
    std::erase_if(zoneReservations_, [&](const auto& entry) { return entry.second.job == &job; });
    orderStale_ = true;
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
    const auto jobs = order_;
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
        if (blockedByUnreconciled(*job) || !withinTeamLimit(*job, gang ? run.waiting : 1)) continue;
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
    auto room = availableRoom(machine, job);
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

/// Frees room for tasks of the job by stopping lower work where that loses least.
int Leader::makeRoomFor(Job& job) {
    constexpr std::size_t kMaxWeighed = 40, kMaxAtOnce = 6;
    const auto need = bookkeeping::needOf(job.spec);
    const bool onlyCached = waitsForImage(job);
    std::size_t wanted = job.run->waiting, coming = 0;
    std::vector<Machine*> candidates;
    std::map<std::string, std::uint32_t> zones = job.run->zones;
    const auto weigh = [&](Machine& m) {
        ++visited_;
        if (!m.kind || !usable(m)) return;
        const bool made = m.isReserved(now_) && !m.holding;
        if (made && m.reservedFor != &job) return;
        if (!mayStart(job, m)) return;
        if (made) {
            ++zones[m.zone];
            ++coming;
        } else if (const auto room = availableRoom(m, job).times(need); room > 0) {
            coming += room;  // it will be placed with that machine's report
        } else if (maxRoom(m, job).covers(need)) {
            candidates.push_back(&m);
        }
    };
    if (onlyCached) {
        for (auto* m : fleet_.withImage(job.spec.image)) weigh(*m);
    } else {
        for (const auto& [id, m] : fleet_.machines()) {
            weigh(*m);
            if (coming >= wanted) break;
        }
    }
    if (coming >= wanted) return 0;
    wanted = std::min(wanted - coming, kMaxAtOnce);
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

/// Makes room for a gang, whole or not at all: only where free room and what yields make up all of it. A gang
/// that is passed over for long, as smaller ones take each machine that comes free, bespeaks a zone: until it
/// has enough there, other work that needs what it needs goes elsewhere. Lower work goes on meanwhile. There
/// is one such gang at a time, so that no two wait for each other's halves.
int Leader::makeRoomForGang(Job& job) {
    if (job.run->liveTotal > 0) return 0;
    const auto need = bookkeeping::needOf(job.spec);
    const auto until = std::chrono::duration_cast<Clock::duration>(settings_.report * 3 + job.spec.save);
    struct Option {
        Machine* machine;
        std::uint32_t free, most;
    };
    std::vector<Option> best;
    std::tuple<std::uint32_t, std::uint32_t, std::uint32_t> bestMerit;
    std::string bestZone;
    for (const auto& zone : job.spec.oneZone ? settings_.zones : std::vector<std::string>{""}) {
        std::vector<Option> options;
        std::uint32_t free = 0, most = 0, could = 0;
        for (const auto& [id, m] : fleet_.machines()) {
            if ((!zone.empty() && m->zone != zone) || !m->kind || m->kind->gpus < need.gpus) continue;
            ++visited_;
            if (!usable(*m)) continue;
            if (allows(job, m->type, m->zone, m->spot))
                could += (bookkeeping::sizeOf(*m->kind) - m->plainUse[4]).times(need);
            if (!bookkeeping::sizeOf(*m->kind).covers(need) || !mayStart(job, *m)) continue;
            if (m->isReserved(now_) && !m->holding && m->reservedFor != &job) continue;
            const auto now = availableRoom(*m, job).times(need), later = maxRoom(*m, job).times(need);
            if (later == 0) continue;
            free += now;
            most += later;
            options.push_back({m.get(), now, later});
        }
        const auto merit = std::tuple(std::min(most, job.spec.tasks), std::min(could, job.spec.tasks), free);
        if (merit <= bestMerit) continue;
        best = std::move(options);
        bestMerit = merit;
        bestZone = zone;
    }
    if (std::get<0>(bestMerit) < job.spec.tasks) {
        // Unless more machines have to come first.
        if (std::get<1>(bestMerit) >= job.spec.tasks) reserveZone(job, bestZone);
        return 0;
    }
    std::vector<PreemptionPlan> plans;
    for (const auto& option : best) {
        auto found = planPreemption(*option.machine, job, std::min(option.most, job.spec.tasks));
        if (!found) continue;
        // Machines kept for it come first; a spot machine that is taken back would stop the whole gang.
        if (option.machine->reservedFor == &job) found->loss -= kReservedBonus;
        if (option.machine->spot) found->loss += kSpotLoss * found->tasks;
        if (!option.machine->hasImage(job.spec.image)) found->loss += kFetchLoss * found->tasks;
        plans.push_back(std::move(*found));
    }
    std::sort(plans.begin(), plans.end(),
              [](const auto& a, const auto& b) { return a.loss / a.tasks < b.loss / b.tasks; });
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

/// One zone at a time, so that smaller work has another to go to; a gang that is overdue may take a further
/// one.
void Leader::reserveZone(const Job& job, const std::string& zone) {
    std::erase_if(zoneReservations_, [&](const auto& entry) { return entry.second.until <= now_; });
    const auto own = std::find_if(zoneReservations_.begin(), zoneReservations_.end(),
                                  [&](const auto& entry) { return entry.second.job == &job; });
    if (own != zoneReservations_.end()) {  // it stays where it began
        own->second.until = now_ + kZoneReservation;
        return;
    }
    if (now_ - job.run->readyAt <= policy_.longestPassedOver / 3) return;
    const auto there = zoneReservations_.find(zone);
    // The oldest goes first, or one after the other might be younger.
    const bool older = there != zoneReservations_.end() && job.run->readyAt < there->second.job->run->readyAt;
    if (older || zoneReservations_.empty() || (job.run->overdue && there == zoneReservations_.end()))
        zoneReservations_[zone] = {&job, now_ + kZoneReservation, now_};
}

/// A gang that waits for machines like this one has bespoken the zone.
bool Leader::reservedForOther(const Job& job, const Machine& machine) const {
    if (zoneReservations_.empty() || !machine.kind || job.priority() == Priority::production) return false;
    return std::any_of(zoneReservations_.begin(), zoneReservations_.end(), [&](const auto& entry) {
        const auto& [zone, by] = entry;
        if (by.until <= now_ || by.job == &job || (!zone.empty() && machine.zone != zone)) return false;
        const bool othersTurn = (now_ - by.since) % (kReservationTurn + kReservationGap) >= kReservationTurn;
        if (othersTurn && hasWaitedUnstarted(job, kReservationGapMinWait)) return false;
        const auto& spec = by.job->spec;
        if (job.priority() < by.job->priority()) return false;
        if (spec.gpus > 0 ? job.spec.gpus <= 0 : job.spec.kind != Kind::gang) return false;
        return bookkeeping::sizeOf(*machine.kind).covers(bookkeeping::needOf(spec));
    });
}

}  // namespace burlpoint::coordination
