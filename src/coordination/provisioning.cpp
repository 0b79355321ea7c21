// Renting machines for what waits and returning those that nobody needs.
#include <algorithm>
#include <cmath>
#include <limits>

#include "coordination/leader.h"

namespace burlpoint::coordination {

using bookkeeping::RosterState;
using protocol::Kind;
using protocol::MachineState;
using protocol::Rented;
using storage::Final;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kMaxPerRequest = 50;
constexpr std::size_t kMaxPerRelease = 100;
constexpr auto kDeleted = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t kMaxAfterRefusal = 3;
constexpr bool kSpotChoices[] = {false, true};  // ordinary and spot

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

}  // namespace

bool Leader::refused(const Offering& offering) const {
    const auto found = refusals_.find(offering);
    return found != refusals_.end() && found->second.until > now_;
}

void Leader::noteRefusal(const Offering& offering) {
    auto& refusal = refusals_[offering];
    refusal.pause = std::clamp<Clock::duration>(refusal.pause * 2, 4s, 16s);
    refusal.until = now_ + refusal.pause;
}

/// It has reported, here or to an earlier leader: if it is silent, it does not boot, it is lost.
bool Leader::wasUp(const Machine& machine) const { return machine.session > 0 || mayHoldTasks(machine.id); }

/// Could any more machines for the job be had in the zone?
bool Leader::mayRent(const Job& job, const std::string& zone) const {
    return std::any_of(types_.begin(), types_.end(), [&](const auto& entry) {
        const auto& type = entry.second;
        if (!bookkeeping::sizeOf(type).covers(bookkeeping::needOf(job.spec))) return false;
        if (std::find(type.zones.begin(), type.zones.end(), zone) == type.zones.end()) return false;
        return std::any_of(std::begin(kSpotChoices), std::end(kSpotChoices), [&](bool spot) {
            return allows(job, type.name, zone, spot) && !refused({type.name, zone, spot});
        });
    });
}

/// It needs no accelerators and may run nowhere else: its owner allows no machine without them, or none such
/// is large enough.
bool Leader::needsAcceleratorMachine(const Job& job) const {
    const auto& s = job.spec;
    return s.gpus <= 0 && std::none_of(types_.begin(), types_.end(), [&](const auto& entry) {
               const auto& [name, type] = entry;
               return type.gpus <= 0 && bookkeeping::sizeOf(type).covers(bookkeeping::needOf(s)) &&
                      std::any_of(type.zones.begin(), type.zones.end(),
                                  [&](const auto& zone) { return allows(job, name, zone, false); });
           });
}

/// Arrays that need no accelerators do not rent machines that have them, unless a processor costs there
/// at most twice what it costs on an ordinary plain machine.
bool Leader::worthRenting(const Job& job, const MachineType& type, bool spot) const {
    if (type.gpus <= 0 || job.spec.gpus > 0 || job.spec.kind != Kind::array || needsAcceleratorMachine(job))
        return true;
    double plain = 0;
    for (const auto& [name, other] : types_)
        if (other.gpus <= 0 && other.cpus > 0 &&
            bookkeeping::sizeOf(other).covers(bookkeeping::needOf(job.spec)))
            plain = std::max(plain, other.price / other.cpus);
    return plain <= 0 || (spot ? type.spotPrice : type.price) / type.cpus <= 2 * plain;
}

void Leader::provision() {
    // Virtual packing: what waits is put into the room that exists or is on its way; the rest needs machines.
    struct Bin {
        std::string type, zone;
        bool spot = false;
        Resources room;
        Machine* machine = nullptr;  // null: asked for or to be asked for
        const Job* reservedFor = nullptr;
        bool fresh = false;  // would have to be rented
        bool used = false;
    };
    std::vector<Bin> bins;
    for (auto& [id, m] : fleet_.machines()) {
        const auto* type = m->kind;
        if (!type || m->unreachableSince || m->draining || m->releasing || m->failed || m->recallAt ||
            m->errorJobs.size() >= 2)
            continue;
        if (m->reconciled && !m->reports && wasUp(*m)) continue;  // lost
        Bin bin{m->type, m->zone, m->spot, bookkeeping::sizeOf(*type) - m->used, m.get()};
        if (m->isReserved(now_)) bin.reservedFor = m->reservedFor;
        bins.push_back(std::move(bin));
    }
    for (const auto& rental : rentalsPending_) {
        const auto* type = typeOf(rental.request.type);
        if (!type) continue;
        for (std::uint32_t i = 0; i < rental.request.count; ++i)
            bins.push_back({rental.request.type, rental.request.zone, rental.request.spot,
                            bookkeeping::sizeOf(*type), nullptr});
    }
    std::map<Offering, std::uint32_t> wanted;
    std::map<std::string, Resources> teamUse;
    for (auto* job : order_.waiting()) {
        const auto& spec = job->spec;
        if (job->final != Final::open || job->run->waiting == 0) continue;
        if (job->run->errorMachines.size() >= 3) continue;  // nothing is rented for what fails everywhere
        const auto need = bookkeeping::needOf(spec);
        auto waiting = job->run->waiting;
        if (const auto* team = settings_.team(spec.team)) {
            const auto use = fleet_.teamUse(spec.team);
            auto& planned = teamUse[spec.team];
            const auto most = [&](double limit, double used, double each) {
                if (limit > 0 && each > 0)
                    waiting =
                        std::min(waiting, static_cast<std::uint32_t>(std::max(0.0, (limit - used) / each)));
            };
            most(team->cpusMax, use.cpus + planned.cpus, spec.cpus);
            most(team->gpusMax, use.gpus + planned.gpus, spec.gpus);
            planned += {spec.cpus * waiting, spec.gpus * waiting, 0};
        }
        if (spec.kind == Kind::array && spec.estimate > Seconds(0)) {
            // One machine after another runs these tasks: enough of them at once to be through in time.
            Seconds horizon = policy_.backlogHorizon;
            if (spec.deadline && spec.dependencies.empty()) {
                const Seconds waited = now_ - job->run->waitingSince;
                horizon = std::max(*spec.deadline * 0.5 - waited, spec.estimate);
            } else if (job->dueMs) {
                // Of a pipeline, what is left of the time until it has to be through.
                horizon = std::max(std::min(horizon, Seconds(dueAt(*job) - now_) * 0.5), spec.estimate);
            }
            const double rounds = std::max(1.0, horizon / spec.estimate);
            waiting = static_cast<std::uint32_t>(std::ceil(waiting / rounds));
        }
        std::map<std::string, std::uint32_t> zones = job->run->zones;
        if (spec.kind == Kind::gang && spec.oneZone && spec.tasks > 1 && zones.empty()) {
            // The zone that has room for most of the gang already, of those where the rest may be rented.
            std::map<std::string, std::uint32_t> rooms;
            for (const auto& zone : settings_.zones) rooms[zone] = 0;
            std::map<std::string, std::uint32_t> asked;  // those not up yet or not even asked for
            for (const auto& bin : bins)
                if (bin.room.covers(need) && allows(*job, bin.type, bin.zone, bin.spot) &&
                    (!bin.reservedFor || bin.reservedFor == job))
                    rooms[bin.zone] += bin.room.times(need);
            for (const auto& bin : bins) asked[bin.zone] += !bin.machine && bin.used;
            const std::string* chosen = nullptr;
            const auto merit = [&](const std::string& zone) {
                return std::pair(std::min(rooms[zone], waiting), -static_cast<int>(asked[zone]));
            };
            for (const auto& [zone, room] : rooms) {
                if (room < waiting && !mayRent(*job, zone)) continue;
                if (!chosen || merit(zone) > merit(*chosen)) chosen = &zone;
            }
            if (!chosen) continue;
            zones[*chosen] = 0;
        }
        const std::uint32_t zoneMost = spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
        const auto zoneRoom = [&](const std::string& zone) {
            if (spec.oneZone && !zones.empty() && !zones.contains(zone)) return 0u;
            const auto found = zones.find(zone);
            const auto here = found == zones.end() ? 0 : found->second;
            return here >= zoneMost ? 0u : zoneMost - here;
        };
        const auto fill = [&](Bin& bin) {
            if (bin.room.cpus < need.cpus - 1e-6 || !allows(*job, bin.type, bin.zone, bin.spot)) return;
            if (bin.reservedFor && bin.reservedFor != job) return;
            const auto fits = std::min({bin.room.times(need), waiting, zoneRoom(bin.zone)});
            if (fits == 0) return;
            // Work without accelerators fills machines that have them, and is no reason to keep one, unless
            // its owner allows it no others.
            bin.used |= spec.gpus > 0 || types_.at(bin.type).gpus <= 0 || needsAcceleratorMachine(*job);
            zones[bin.zone] += fits;
            waiting -= fits;
            bin.room -= {need.cpus * fits, need.gpus * fits, need.memoryGb * fits};
        };
        for (auto& bin : bins) {
            if (waiting == 0) break;
            fill(bin);
        }
        const bool plain = plainMachineRentable(*job);
        while (waiting > 0) {
            // The cheapest machine for what is left; unused room counts against large ones.
            const Offering* best = nullptr;
            Offering bestOffering;
            double bestCost = 0;
            for (const auto& [name, type] : types_) {
                const auto size = bookkeeping::sizeOf(type);
                if (!size.covers(need)) continue;
                if (type.gpus > 0 && spec.gpus <= 0 && plain) continue;
                for (const auto& zone : type.zones) {
                    for (const bool spot : kSpotChoices) {
                        if (!worthRenting(*job, type, spot)) continue;
                        if (!allows(*job, name, zone, spot)) continue;
                        const Offering offering{name, zone, spot};
                        const auto count = std::min({size.times(need), waiting, zoneRoom(zone)});
                        if (count == 0 || refused(offering)) continue;
                        // What was refused lately is asked for a few only, and the rest elsewhere.
                        if (refusals_.contains(offering) && wanted[offering] >= kMaxAfterRefusal) continue;
                        const double cost = (spot ? type.spotPrice : type.price) / count;
                        if (best && cost >= bestCost) continue;
                        bestOffering = offering;
                        best = &bestOffering;
                        bestCost = cost;
                    }
                }
            }
            if (!best) break;
            ++wanted[bestOffering];
            bins.push_back({bestOffering.type, bestOffering.zone, bestOffering.spot,
                            bookkeeping::sizeOf(types_.at(bestOffering.type)), nullptr, nullptr, true,
                            false});
            const auto before = waiting;
            fill(bins.back());
            if (waiting == before) break;
        }
    }
    std::set<std::string> needed;
    for (const auto& bin : bins)
        if (bin.used && bin.machine) needed.insert(bin.machine->id);
    requestRentals(wanted);
    releaseIdle(needed);
    if (now_ >= nextList_ && !listing_ && cloudBudget_.take(1, 0, now_)) {
        nextList_ = now_ + std::clamp<Clock::duration>(ticks(settings_.listLag / 2), 3s, 10s);
        listing_ = true;
        actions_.push_back(ListMachines{});
    }
    if (now_ >= nextTypes_ && cloudBudget_.take(1, 0, now_)) {
        nextTypes_ = now_ + (types_.empty() ? Clock::duration(2s) : 30s);
        actions_.push_back(ListTypes{});
    }
}

void Leader::requestRentals(const std::map<Offering, std::uint32_t>& wanted) {
    for (const auto& [offering, count] : wanted)
        for (std::uint32_t left = count; left > 0;) {
            const auto some = std::min(left, kMaxPerRequest);
            left -= some;
            rentalsPending_.push_back({{"r-" + std::to_string(token_) + "-" + std::to_string(++rentals_),
                                        offering.type, offering.zone, offering.spot, some},
                                       now_,
                                       now_,
                                       false,
                                       true});
        }
    for (auto& rental : rentalsPending_) {
        // One whose outcome is not known is repeated under its name: it rents nothing twice.
        if (rental.asked || now_ < rental.nextTry) continue;
        if (!cloudBudget_.take(1, 0, now_)) break;
        rental.asked = true;
        rental.fresh = false;
        actions_.push_back(Rent{rental.request});
    }
}

void Leader::on(RentalAnswered& command) {
    const auto found = std::find_if(rentalsPending_.begin(), rentalsPending_.end(),
                                    [&](const auto& r) { return r.request.name == command.name; });
    if (found == rentalsPending_.end()) return;
    const auto request = found->request;
    const Offering offering{request.type, request.zone, request.spot};
    found->asked = false;
    if (!command.rented && !command.noCapacity && !command.malformed) {
        found->nextTry = now_ + 2s;
        return;
    }
    rentalsPending_.erase(found);
    if (!command.rented || command.machines.size() < request.count) {
        noteRefusal(offering);
        std::erase_if(rentalsPending_, [&](const auto& other) {
            const auto& r = other.request;
            return other.fresh && Offering{r.type, r.zone, r.spot} == offering;
        });
    }
    if (command.rented && command.machines.size() >= request.count) refusals_.erase(offering);
    for (const auto& id : command.machines) {
        if (removedMachines_.contains(id) || fleet_.find(id)) continue;
        findOrAddMachine(id, request.type, request.zone, request.spot);
        rosterAdd_.insert(id);  // noted for the next leader, which would rent it again
    }
}

void Leader::releaseIdle(const std::set<std::string>& needed) {
    std::vector<std::string> machines;
    for (auto& [id, m] : fleet_.machines()) {
        if (machines.size() >= kMaxPerRelease) break;
        if (m->releasing || m->failed) {
            machines.push_back(id);
            continue;
        }
        if (!m->placements.empty() || !m->reconciled) continue;
        const auto* type = typeOf(m->type);
        const bool neverUp = !wasUp(*m);
        const auto known = now_ - m->knownSince;
        if (neverUp) {
            if (type && known > ticks(type->boot * 3.5 + Seconds(15))) machines.push_back(id);
            continue;
        }
        const bool lost = !m->reports && now_ > m->leaseUntil + 10s;
        const bool sick = m->errorJobs.size() >= 2;
        const bool leaving = m->draining || sick;
        // What takes long to boot is kept longer: its next job would wait for all of that.
        const auto keep = std::max(policy_.idleKeep, type ? type->boot * policy_.bootKeep : Seconds(0));
        const bool idle = now_ - m->busyUntil > ticks(keep) && known > ticks(policy_.minimumKeep) &&
                          !needed.contains(id) && m->reservedUntil <= now_;
        if (lost || leaving || idle) machines.push_back(id);
    }
    if (machines.empty() || releasing_ || now_ < nextRelease_ || !cloudBudget_.take(1, 0, now_)) return;
    for (const auto& id : machines) fleet_.find(id)->releasing = true;  // no starts from here on
    releasing_ = true;
    nextRelease_ = now_ + 500ms;
    actions_.push_back(Release{std::move(machines)});
}

void Leader::on(ReleaseAnswered& command) {
    releasing_ = false;
    if (!command.ok) {
        nextRelease_ = now_ + 2s;  // repeated: names that are gone already are ignored
        return;
    }
    for (const auto& id : command.machines) {
        if (auto* machine = fleet_.find(id)) removeMachine(*machine);
        removedMachines_[id] = {kDeleted, kDeleted};  // deleted: whatever still comes of it is late
    }
}

void Leader::on(MachinesListed& command) {
    listing_ = false;
    if (!command.ok) return;
    std::set<std::string> seen;
    for (const Rented& rented : command.machines) {
        seen.insert(rented.id);
        const auto left = removedMachines_.find(rented.id);
        if (left != removedMachines_.end() && left->second.first == kDeleted) continue;
        const bool known = fleet_.find(rented.id) != nullptr;
        auto& machine = findOrAddMachine(rented.id, rented.type, rented.zone, rented.spot);
        // Rented by an earlier leader, or by a request that was carried out late. One that may have had tasks
        // is silent, not booting, and its age says nothing.
        if (machine.session == 0 && !mayHoldTasks(rented.id))
            machine.knownSince =
                std::min(machine.knownSince, now_ - ticks(std::min(rented.age, Seconds(86'400))));
        if (!known) machine.busyUntil = now_;
        if (machine.address.empty()) machine.address = rented.address;
        if (rented.state == MachineState::failed) machine.failed = true;
    }
    // Lists lag by up to twice the setting, and one may be older than the one before.
    const auto lag = ticks(settings_.listLag * 2.5);
    std::vector<Machine*> vanished;
    for (auto& [id, m] : fleet_.machines()) {
        if (seen.contains(id) || m->releasing || !m->placements.empty() || !m->reconciled || m->reports)
            continue;
        const auto newest = m->session == 0 ? m->knownSince : std::max(m->lastReport, m->knownSince);
        if (command.asked - newest > lag) vanished.push_back(m.get());
    }
    for (auto* machine : vanished) removeMachine(*machine);
}

void Leader::on(TypesListed& command) {
    if (command.types.empty()) return;
    bool changed = false;
    for (auto& type : command.types) {
        auto& known = types_[type.name];
        // Prices move all the time and are asked for anew; only the rest is worth a write.
        auto compared = type;
        compared.price = known.price;
        compared.spotPrice = known.spotPrice;
        changed |= !(compared == known);
        known = std::move(type);
    }
    for (const auto& [id, machine] : fleet_.machines())
        if (!machine->kind) machine->kind = typeOf(machine->type);
    if (changed) typesUnstored_ = true;
    order_.markStale();
}

}  // namespace burlpoint::coordination
