// Degraded-first placement: DESIGN's rule on each report, and what the rules and the deployments add to it.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/leader.h"

namespace burlpoint::coordination {

using bookkeeping::RosterState;
using protocol::Kind;
using protocol::Op;
using storage::Final;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostStarts = 250;
constexpr auto kErrorMemory = 90s;  // how long a task's failure on a machine keeps its job away from it
constexpr std::size_t kSickJobs = 2;
constexpr auto kPlainOnly = 12s;  // how long a replica waits for a machine without accelerators

}  // namespace

const MachineType* Leader::typeOf(const std::string& name) const {
    const auto found = types_.find(name);
    return found == types_.end() ? nullptr : &found->second;
}

bool Leader::usable(const Machine& m) const {
    // A machine without a stored roster entry would be unknown to the next leader, tasks and all.
    return m.heard && m.reports && m.roster == RosterState::stored && !m.draining && !m.releasing &&
           !m.failed && !m.recallAt && m.quietUntil <= now_ && m.errorJobs.size() < kSickJobs &&
           typeOf(m.type);
}

bool Leader::allows(const Job& job, const std::string& type, const std::string& zone, bool spot) const {
    const auto& s = job.spec;
    if (spot && !s.spot) return false;
    if (s.zone && *s.zone != zone) return false;
    return !s.types || std::find(s.types->begin(), s.types->end(), type) != s.types->end();
}

/// Could an attempt that an earlier leader started be on a machine not heard from yet?
bool Leader::blockedByUnheard(const Job& job) const {
    if (!job.run->inherited) return false;
    return std::any_of(fleet_.machines().begin(), fleet_.machines().end(), [&](const auto& entry) {
        const auto& m = *entry.second;
        return m.roster == RosterState::stored && !m.settled && allows(job, m.type, m.zone, m.spot);
    });
}

bool Leader::withinTeamLimit(const Job& job, std::uint32_t tasks) const {
    const auto* team = settings_.team(job.spec.team);
    if (!team) return false;
    if (team->cpusMax <= 0 && team->gpusMax <= 0) return true;
    auto use = fleet_.teamUse(team->name);
    // Until a machine has been heard, it may be full of this team's tasks.
    for (const auto& [id, m] : fleet_.machines()) {
        if (m->settled || m->roster != RosterState::stored) continue;
        if (const auto* type = typeOf(m->type)) use += bookkeeping::sizeOf(*type);
    }
    constexpr double slack = 1e-6;
    const auto fits = [&](double used, double need, double most) {
        return most <= 0 || used + need * tasks <= most + slack;
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

Resources Leader::roomOn(const Machine& machine, const Job& job) const {
    const auto* type = typeOf(machine.type);
    if (!type) return {};
    auto room = bookkeeping::sizeOf(*type) - machine.used;
    if (machine.reservedFor && machine.reservedFor != &job && machine.reservedUntil > now_) {
        const auto* holder = machine.reservedFor;
        if (holder->run && holder->run->waiting > 0 && rankOf(*holder) >= rankOf(job))
            room -= bookkeeping::needOf(holder->spec);
    }
    return room;
}

/// Everything but the room: may one more task of the job start on this machine now?
bool Leader::mayStart(const Job& job, const Machine& machine) const {
    const auto& run = *job.run;
    if (job.final != Final::open || run.waiting == 0 || run.notBefore > now_) return false;
    if (!allows(job, machine.type, machine.zone, machine.spot) || !zoneAllows(job, machine.zone))
        return false;
    if (!sparesAccelerators(job, machine)) return false;
    const auto failed = run.errorMachines.find(machine.id);
    if (failed != run.errorMachines.end() && now_ - failed->second < kErrorMemory &&
        run.errorMachines.size() < 3)
        return false;
    return true;
}

/// Machines with accelerators are few and slow to come by. Work that needs none may use them, but only so far
/// that a job that does need them can still have the room: at once, or by stopping lower work.
bool Leader::sparesAccelerators(const Job& job, const Machine& machine) const {
    const auto* type = typeOf(machine.type);
    if (!type || type->gpus <= 0 || job.spec.gpus > 0) return true;
    // A replica stays for as long as its service does, and would hold the dear machine for all that time.
    if (job.spec.kind == Kind::service && fitsPlain(job) && now_ - job.run->waitingSince < kPlainOnly)
        return false;
    const auto found = acceleratorNeeds_.find(machine.type);
    if (found == acceleratorNeeds_.end()) return job.spec.priority < Priority::high;
    const auto& [need, priority] = found->second;
    if (job.spec.priority < priority && job.spec.kind != Kind::service) return true;
    auto room = bookkeeping::sizeOf(*type) - bookkeeping::needOf(job.spec);
    for (const auto& [key, p] : machine.places) {
        const auto& spec = p.job->spec;
        if (spec.gpus <= 0 && (spec.priority >= priority || spec.kind == Kind::service))
            room -= bookkeeping::needOf(spec);
    }
    return room.covers(need);
}

/// Some type without accelerators would do.
bool Leader::fitsPlain(const Job& job) const {
    return std::any_of(types_.begin(), types_.end(), [&](const auto& entry) {
        const auto& type = entry.second;
        return type.gpus <= 0 && bookkeeping::sizeOf(type).covers(bookkeeping::needOf(job.spec)) &&
               (!job.spec.types || std::find(job.spec.types->begin(), job.spec.types->end(), type.name) !=
                                       job.spec.types->end());
    });
}

/// The most that jobs with accelerators have asked of each machine type, and the lowest of their priorities.
void Leader::noteAccelerators(const Job& job) {
    if (job.spec.gpus <= 0) return;
    const auto need = bookkeeping::needOf(job.spec);
    for (const auto& [name, type] : types_) {
        if (!bookkeeping::sizeOf(type).covers(need)) continue;
        if (job.spec.types &&
            std::find(job.spec.types->begin(), job.spec.types->end(), name) == job.spec.types->end())
            continue;
        auto [at, fresh] = acceleratorNeeds_.try_emplace(name, need, job.spec.priority);
        auto& [most, priority] = at->second;
        most = {std::max(most.cpus, need.cpus), std::max(most.gpus, need.gpus),
                std::max(most.memoryGb, need.memoryGb)};
        priority = std::min(priority, job.spec.priority);
    }
}

/// Production first, then what teams are guaranteed, then by priority.
int Leader::rankOf(const Job& job) const {
    const auto found = ranks_.find(&job);
    return found == ranks_.end() ? 0 : found->second;
}

void Leader::refreshOrder() {
    if (!orderStale_ || now_ < nextOrder_) return;
    orderStale_ = false;
    nextOrder_ = now_ + 100ms;
    std::sort(open_.begin(), open_.end(),
              [](const Job* a, const Job* b) { return a->accepted < b->accepted; });
    ranks_.clear();
    order_.clear();
    std::map<std::string, Resources> teams;
    for (auto* job : open_) {
        auto& demand = teams[job->spec.team];
        const auto unfinished = job->spec.tasks - job->doneCount;
        demand += {job->spec.cpus * unfinished, job->spec.gpus * unfinished, 0};
        const auto* team = settings_.team(job->spec.team);
        // "A value of 0 means none": with no guarantee of accelerators, work that needs them has none.
        const bool guaranteed = team && (team->cpus > 0 || team->gpus > 0) &&
                                demand.cpus <= team->cpus + 1e-6 && demand.gpus <= team->gpus + 1e-6;
        const bool production = job->spec.priority == Priority::production;
        ranks_[job] = production ? 10 : guaranteed ? 5 : static_cast<int>(job->spec.priority);
        if (!job->run->admitted) admit(*job);
        noteAccelerators(*job);
        if (job->run->waiting > 0) order_.push_back(job);
    }
    // Within a rank by arrival. Where deadlines count, what is soonest through goes first, so that as many
    // jobs as possible meet theirs, and what can no longer meet its own goes last.
    constexpr double last = 1e18;
    std::map<const Job*, double> work;
    for (const auto* job : order_) {
        if (!job->spec.deadline) continue;
        const Seconds left = *job->spec.deadline - Seconds(now_ - job->run->acceptedAt);
        const auto& spec = job->spec;
        work[job] = left < spec.estimate * 0.8 ? last : job->run->waiting * spec.cpus * spec.estimate.count();
    }
    const auto key = [&](const Job* job) {
        const auto found = work.find(job);
        return std::pair(-rankOf(*job), found == work.end() ? last / 2 : found->second);
    };
    std::stable_sort(order_.begin(), order_.end(),
                     [&](const Job* a, const Job* b) { return key(a) < key(b); });
}

/// Md: the job's tasks times the share of up machines that lack its image as it is admitted.
void Leader::admit(Job& job) {
    std::size_t up = 0, lacking = 0;
    for (const auto& [id, m] : fleet_.machines()) {
        if (!m->reports || !m->heard) continue;
        ++up;
        if (!m->hasImage(job.spec.image)) ++lacking;
    }
    if (up == 0) return;
    job.run->admitted = true;
    job.run->pacedTotal = job.spec.tasks * static_cast<double>(lacking) / static_cast<double>(up);
}

// ts and E[ts]: the cached-task time of a machine is the work waiting for images that it has, each image's
// work shared by the processors of all machines that have it.
void Leader::refreshPacing() {
    if (now_ < nextPacing_) return;
    nextPacing_ = now_ + 250ms;
    imageWork_.clear();
    for (const auto* job : order_) {
        const double estimate = std::max(job->spec.estimate.count(), 0.0);
        imageWork_[job->spec.image] += job->run->waiting * job->spec.cpus * estimate;
    }
    std::map<std::string, double> processors;
    std::size_t up = 0;
    for (const auto& [id, m] : fleet_.machines()) {
        const auto* type = typeOf(m->type);
        if (!m->reports || !type) continue;
        ++up;
        for (const auto& [image, gb] : m->images) processors[image] += type->cpus;
    }
    for (auto& [image, work] : imageWork_) {
        const auto found = processors.find(image);
        work = found == processors.end() || found->second <= 0 ? 0 : work / found->second;
    }
    double sum = 0;
    for (const auto& [id, m] : fleet_.machines())
        if (m->reports) sum += cachedSeconds(*m);
    meanCachedSeconds_ = up ? sum / static_cast<double>(up) : 0;
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
    // Only zones that report count: one that is cut off would raise the mean for all others.
    std::set<std::string> zones;
    for (const auto& [id, m] : fleet_.machines())
        if (m->reports &&
            now_ - m->lastReport < std::chrono::duration_cast<Clock::duration>(settings_.report * 3))
            zones.insert(m->zone);
    double sum = 0;
    std::size_t count = 0;
    for (const auto& zone : zones) {
        const auto last = zoneFetch_.find(zone);
        if (last == zoneFetch_.end()) continue;
        sum += Seconds(now_ - last->second).count();
        ++count;
    }
    const double mean = count ? sum / static_cast<double>(count) : 0;
    const double threshold = fetchesSeen_ ? meanFetch_ : policy_.fetchStart.count();
    return Seconds(now_ - own->second).count() >= std::min(mean, threshold);
}

std::uint32_t Leader::cachedRoomElsewhere(const Job& job, const Machine& machine,
                                          std::uint32_t enough) const {
    std::uint32_t room = 0;
    const auto soon = std::chrono::duration_cast<Clock::duration>(settings_.report * 1.5);
    for (const auto& [id, m] : fleet_.machines()) {
        if (m.get() == &machine || !m->hasImage(job.spec.image) || !usable(*m)) continue;
        if (now_ - m->lastReport > soon || !mayStart(job, *m)) continue;
        room += roomOn(*m, job).times(bookkeeping::needOf(job.spec));
        if (room >= enough) break;
    }
    return room;
}

/// The work on a machine that has to yield to the job.
bool Leader::yields(const Placement& placement, const Job& job) const {
    const auto& spec = placement.job->spec;
    if (placement.job == &job || spec.kind == Kind::service || (spec.kind == Kind::gang && spec.tasks > 1))
        return false;
    if (spec.priority < job.spec.priority) return true;
    // Any other team's borrowed work yields to a guarantee.
    const auto* team = settings_.team(spec.team);
    return rankOf(job) == 5 && spec.team != job.spec.team && team &&
           fleet_.teamUse(spec.team).cpus > team->cpus && rankOf(*placement.job) < 5;
}

/// Would fetching its image make the job miss what its users expect, while a machine that has it could take
/// it?
bool Leader::waitsForImage(const Job& job) const {
    const Seconds waited = now_ - job.run->waitingSince;
    const Seconds fetch(fetchesSeen_ ? meanFetch_ : policy_.fetchStart.count());
    const bool tight =
        std::any_of(settings_.objectives.begin(), settings_.objectives.end(), [&](const auto& objective) {
            return objective.kind == "wait" && objective.jobClass == job.spec.jobClass &&
                   objective.within < fetch + settings_.report && waited < objective.within;
        });
    if (!tight || !policy_.preempt) return false;
    const auto need = bookkeeping::needOf(job.spec);
    return std::any_of(fleet_.machines().begin(), fleet_.machines().end(), [&](const auto& entry) {
        const auto& m = *entry.second;
        if (!m.hasImage(job.spec.image) || !usable(m) || !mayStart(job, m)) return false;
        auto room = roomOn(m, job);
        for (const auto& [key, p] : m.places) {
            if (room.covers(need)) break;
            if (p.stopping || yields(p, job)) room += bookkeeping::needOf(p.job->spec);
        }
        return room.covers(need);
    });
}

void Leader::noteFetch(Machine& machine, Job& job) {
    ++job.run->paced;
    zoneFetch_[machine.zone] = now_;
}

bool Leader::startOne(Machine& machine, Job& job, std::vector<Order>& orders) {
    if (orders.size() >= kMostStarts || !mayStart(job, machine) || blockedByUnheard(job)) return false;
    if (job.spec.kind == Kind::gang && (job.spec.tasks > 1 || job.run->liveTotal > 0)) return false;
    if (!withinTeamLimit(job, 1)) return false;
    if (!roomOn(machine, job).covers(bookkeeping::needOf(job.spec))) return false;
    const auto task = job.firstWaiting();
    if (!task) return false;
    const std::uint64_t attempt = (token_ << 32) + ++attempts_;
    auto& placement = fleet_.place(machine, job, *task, attempt, PlaceState::sent, now_);
    placement.sentSequence = machine.sequence;
    ++job.run->launched;
    if (job.spec.kind == Kind::gang) job.run->gangAttempt = attempt;
    if (machine.reservedFor == &job) machine.reservedFor = nullptr;
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
    for (auto& [key, p] : machine.places) {
        if (p.state != PlaceState::planned || orders.size() >= kMostStarts) continue;
        p.sentSequence = machine.sequence;
        fleet_.setState(p, PlaceState::sent, now_);
        ++p.job->run->launched;
        orders.push_back({Op::start, {p.job->spec.id, p.task, p.attempt}, Seconds(0)});
    }
    bool fetchPlaced = false;
    // One rank after the other, so that a low job's cached tasks do not take the room of a high one's fetch.
    for (auto first = order_.begin(); first != order_.end();) {
        const int rank = rankOf(**first);
        const auto last =
            std::find_if(first, order_.end(), [&](const Job* job) { return rankOf(*job) != rank; });
        for (auto at = first; at != last; ++at) {
            Job& job = **at;
            if (job.run->waiting == 0 || !mayStart(job, machine)) continue;
            if (machine.hasImage(job.spec.image)) {
                while (startOne(machine, job, orders)) {
                }
            } else if (waitsForImage(job)) {
                continue;
            } else if (!fetchPlaced && !machine.isFetching(job.spec.image) && paceAllows(job, machine) &&
                       cachedRoomElsewhere(job, machine, job.run->waiting) < job.run->waiting &&
                       startOne(machine, job, orders)) {
                fetchPlaced = true;
                noteFetch(machine, job);
            }
        }
        for (auto at = first; at != last; ++at) holdRoom(machine, **at);
        // What room is left takes any waiting task, unless machines that have its image report soon.
        for (auto at = first; at != last; ++at) {
            Job& job = **at;
            if (job.run->waiting == 0 || machine.hasImage(job.spec.image) || !mayStart(job, machine))
                continue;
            if (waitsForImage(job)) continue;
            const auto waiting = job.run->waiting;
            const auto elsewhere = cachedRoomElsewhere(job, machine, waiting);
            bool fetching = machine.isFetching(job.spec.image);
            for (std::uint32_t n = elsewhere; n < waiting && startOne(machine, job, orders); ++n) {
                if (!fetching) noteFetch(machine, job);
                fetching = true;
            }
        }
        first = last;
    }
}

/// Room that comes free a little at a time would go to small low tasks for ever. One machine per waiting task
/// of a high job keeps it, which mostly spares stopping anything.
void Leader::holdRoom(Machine& machine, const Job& job) {
    const auto& run = *job.run;
    if (rankOf(job) < static_cast<int>(Priority::high) || run.waiting == 0) return;
    if (machine.reservedFor && machine.reservedUntil > now_) return;
    if (job.spec.kind == Kind::gang && job.spec.tasks > 1) return;
    if (!mayStart(job, machine) || blockedByUnheard(job) || !withinTeamLimit(job, 1)) return;
    const auto* type = typeOf(machine.type);
    const auto need = bookkeeping::needOf(job.spec);
    auto most = bookkeeping::sizeOf(*type);
    for (const auto& [key, p] : machine.places)
        if (!yields(p, job)) most -= bookkeeping::needOf(p.job->spec);
    if (!most.covers(need) || roomOn(machine, job).covers(need)) return;
    const auto held =
        std::count_if(fleet_.machines().begin(), fleet_.machines().end(), [&](const auto& entry) {
            return entry.second->reservedFor == &job && entry.second->reservedUntil > now_;
        });
    if (held >= run.waiting) return;
    machine.reservedFor = &job;
    machine.reservedUntil = now_ + std::chrono::duration_cast<Clock::duration>(settings_.report * 3);
    machine.holding = true;
}

// --- gangs of several tasks: whole or not at all ----------------------------------------------------------

void Leader::planGangs() {
    for (auto* job : std::vector<Job*>(order_)) {
        const auto& run = *job->run;
        if (job->spec.kind != Kind::gang || job->spec.tasks < 2 || job->final != Final::open) continue;
        if (run.liveTotal > 0 || run.waiting < job->spec.tasks || run.notBefore > now_) continue;
        if (blockedByUnheard(*job) || !withinTeamLimit(*job, job->spec.tasks)) continue;
        if (!job->spec.oneZone) {
            planGang(*job, nullptr);
            continue;
        }
        for (const auto& zone : settings_.zones)
            if (planGang(*job, &zone)) break;
    }
}

bool Leader::planGang(Job& job, const std::string* zone) {
    std::vector<Machine*> machines;
    for (auto& [id, m] : fleet_.machines())
        if (usable(*m) && (!zone || m->zone == *zone) && mayStart(job, *m)) machines.push_back(m.get());
    std::stable_sort(machines.begin(), machines.end(), [&](const Machine* a, const Machine* b) {
        return a->hasImage(job.spec.image) > b->hasImage(job.spec.image);
    });
    const auto need = bookkeeping::needOf(job.spec);
    std::vector<Machine*> chosen;
    std::map<std::string, std::uint32_t> perZone;
    const auto zoneMost = job.spec.spread ? (job.spec.tasks + 1) / 2 : job.spec.tasks;
    for (auto* m : machines) {
        auto& here = perZone[m->zone];
        const auto left = static_cast<std::uint32_t>(job.spec.tasks - chosen.size());
        const auto count = std::min({roomOn(*m, job).times(need), zoneMost - here, left});
        here += count;
        chosen.insert(chosen.end(), count, m);
        if (chosen.size() == job.spec.tasks) break;
    }
    if (chosen.size() < job.spec.tasks) return false;
    const std::uint64_t attempt = (token_ << 32) + ++attempts_;
    job.run->gangAttempt = attempt;
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task)
        fleet_.place(*chosen[task], job, task, attempt, PlaceState::planned, now_);
    orderStale_ = true;
    return true;
}

// --- preemption -------------------------------------------------------------------------------------------

/// How long a job may wait for room to come free by itself: a small part of what its users expect.
Seconds Leader::patienceOf(const Job& job) const {
    Seconds patience = settings_.report * 1.5;
    // Neither replicas' room nor whole machines come free by waiting.
    const bool hurried = job.spec.priority == Priority::production || job.spec.gpus > 0;
    if (hurried) patience = Seconds(0.2);
    for (const auto& objective : settings_.objectives)
        if (objective.kind == "wait" && objective.jobClass == job.spec.jobClass)
            patience = hurried || objective.within < settings_.report * 3
                           ? std::min(patience, objective.within * 0.1)
                           : objective.within * 0.35;
    return patience;
}

void Leader::preempt() {
    constexpr int kMostAtOnce = 6;
    int made = 0;
    for (auto* job : std::vector<Job*>(order_)) {
        if (made >= kMostAtOnce) return;
        const auto& run = *job->run;
        if (job->spec.priority <= Priority::normal && rankOf(*job) < 5) continue;
        if (job->final != Final::open || run.waiting == 0 || run.notBefore > now_) continue;
        if (job->spec.kind == Kind::gang && job->spec.tasks > 1) continue;
        if (Seconds(now_ - run.waitingSince) < patienceOf(*job)) continue;
        if (blockedByUnheard(*job) || !withinTeamLimit(*job, 1)) continue;
        if (preemptFor(*job)) ++made;
    }
}

/// Frees room for one task of the job by stopping lower work where that loses least.
bool Leader::preemptFor(Job& job) {
    const auto need = bookkeeping::needOf(job.spec);
    Machine* best = nullptr;
    std::vector<Placement*> bestVictims;
    double bestLoss = 0;
    const bool onlyCached = waitsForImage(job);
    for (auto& [id, m] : fleet_.machines()) {
        if (!usable(*m) || !mayStart(job, *m) || (onlyCached && !m->hasImage(job.spec.image))) continue;
        if (m->reservedFor && m->reservedUntil > now_ && !m->holding) {
            if (m->reservedFor == &job) return false;  // room is being made already
            continue;
        }
        auto room = roomOn(*m, job);
        if (room.covers(need)) return false;  // it will be placed with that machine's report
        struct Victim {
            Placement* placement;
            double loss;
        };
        std::vector<Victim> victims;
        for (auto& [key, p] : m->places) {
            const auto& spec = p.job->spec;
            if (p.stopping) {
                room += bookkeeping::needOf(spec);
                continue;
            }
            if (!yields(p, job)) continue;
            double lost = p.state == PlaceState::running ? Seconds(now_ - p.runningSince).count() : 0;
            if (spec.gpus > 0 && job.spec.gpus <= 0) lost += 1000;  // hard to place anew
            if (spec.checkpoint > Seconds(0)) lost = std::min(lost, spec.save.count() + 5);
            victims.push_back({&p, lost * std::max(spec.cpus, 0.1) + 1});
        }
        if (room.covers(need)) {
            m->reservedFor = &job;
            m->holding = false;
            m->reservedUntil = now_ + std::chrono::duration_cast<Clock::duration>(settings_.report * 4);
            return false;
        }
        std::sort(victims.begin(), victims.end(),
                  [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
        std::vector<Placement*> chosen;
        double loss = m->hasImage(job.spec.image) ? 0 : 10;
        for (const auto& victim : victims) {
            if (room.covers(need)) break;
            room += bookkeeping::needOf(victim.placement->job->spec);
            loss += victim.loss;
            chosen.push_back(victim.placement);
        }
        if (!room.covers(need) || (best && loss >= bestLoss)) continue;
        best = m.get();
        bestVictims = std::move(chosen);
        bestLoss = loss;
    }
    if (!best) return false;
    for (auto* victim : bestVictims) stop(*best, *victim, victim->job->spec.save);
    best->reservedFor = &job;
    best->holding = false;
    best->reservedUntil =
        now_ + std::chrono::duration_cast<Clock::duration>(settings_.report * 4 + job.spec.save);
    return true;
}

}  // namespace burlpoint::coordination
