// Renting machines for what waits and returning those that nobody needs.
#include <algorithm>
#include <limits>

#include "coordination/capacity_plan.h"
#include "coordination/leader.h"
#include "coordination/machine_status.h"

namespace burlpoint::coordination {

using protocol::MachineState;
using protocol::Rented;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxPerRelease = 100;
constexpr auto kDeleted = std::numeric_limits<std::uint64_t>::max();

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

}  // namespace

bool Leader::needsAcceleratorMachine(const Job& job) const {
    return coordination::needsAcceleratorMachine(job.spec, types_);
}

void Leader::provision() {
    const auto due = [this](const Job& job) { return dueAt(job); };
    CapacityPlan plan({settings_, policy_, replica_, fleet_, types_, rentals_, refusals_, due, now_});
    for (const auto* job : order_) plan.add(*job);
    requestRentals(plan.toRent());
    releaseIdle(plan.neededMachines());
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
    for (const auto& [offering, count] : wanted) rentals_.add(offering, count, now_);
    for (auto& request : rentals_.takeDue(cloudBudget_, now_)) actions_.push_back(Rent{std::move(request)});
}

void Leader::on(RentalAnswered& command) {
    const bool outcomeKnown = command.rented || command.noCapacity || command.malformed;
    if (!outcomeKnown) {
        rentals_.repeat(command.name, now_);
        return;
    }
    const auto request = rentals_.settle(command.name);
    if (!request) return;
    const auto offering = offeringOf(*request);
    const bool inFull = command.rented && command.machines.size() >= request->count;
    if (inFull) {
        refusals_.forget(offering);
    } else {
        refusals_.note(offering, now_);
        rentals_.withdrawUnsent(offering);
    }
    for (const auto& id : command.machines) {
        if (removedMachines_.contains(id) || fleet_.find(id)) continue;
        findOrAddMachine(id, request->type, request->zone, request->spot);
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
        const bool neverUp = !wasUp(*m, replica_);
        const auto known = now_ - m->knownSince;
        if (neverUp) {
            if (type && known > ticks(type->boot * 3.5 + Seconds(15))) machines.push_back(id);
            continue;
        }
        const bool lost = !m->reports && now_ > m->leaseUntil + 10s;
        const bool sick = isFaulty(*m);
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
    orderStale_ = true;
}

}  // namespace burlpoint::coordination
