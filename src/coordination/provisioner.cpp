#include "coordination/provisioner.h"

#include <algorithm>

#include "coordination/machine_status.h"

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

constexpr double kShareOfLimit = 0.8;        // of the cloud's requests per second; clocks and counting differ
constexpr std::size_t kMaxPerRelease = 100;  // machines in one request
constexpr Clock::duration kBetweenReleases = 500ms;  // so that several machines gather for one request
constexpr Clock::duration kRepeatRelease = 2s;       // a cloud that does not answer is not pressed
// Twice per lag the list shows something new; more seldom would keep machines for too long that are gone.
constexpr Clock::duration kMinListInterval = 3s;
constexpr Clock::duration kMaxListInterval = 10s;
constexpr Clock::duration kTypesInterval = 30s;      // prices change all the time
constexpr Clock::duration kFirstTypesInterval = 2s;  // without types nothing can be rented
constexpr Clock::duration kLostAfter = 10s;          // beyond the lease of a machine without tasks
// What has not reported after so many boot times of its type, and some seconds, does not boot.
constexpr double kMaxBoots = 3.5;
constexpr Seconds kMaxBootMargin{15};
// Lists lag by up to twice the setting, and one may be older than the one before.
constexpr double kMaxListLags = 2.5;

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

}  // namespace

Provisioner::Provisioner(const Settings& settings, const Policy& policy, const StateReplica& replica,
                         std::uint64_t token, Time now)
    : settings_(settings),
      policy_(policy),
      replica_(replica),
      budget_(settings.cloudRps * kShareOfLimit, now),
      rentals_(token) {}

CloudRequests Provisioner::decide(Fleet& fleet, const MachineTypes& types, const WaitingWork& work,
                                  Time now) {
    CapacityPlan plan({settings_, policy_, replica_, fleet, types, rentals_, refusals_, work.dueAt, now});
    for (const auto* job : work.order) plan.add(*job);
    CloudRequests requests;
    requestRentals(plan.toRent(), requests, now);
    requestRelease(fleet, plan.neededMachines(), requests, now);
    requestLists(!types.empty(), requests, now);
    return requests;
}

void Provisioner::requestRentals(const std::map<Offering, std::uint32_t>& wanted, CloudRequests& requests,
                                 Time now) {
    for (const auto& [offering, count] : wanted) rentals_.add(offering, count, now);
    requests.rentals = rentals_.takeDue(budget_, now);
}

std::optional<RentalRequest> Provisioner::rentalAnswered(const std::string& name, RentalOutcome outcome,
                                                         std::size_t machines, Time now) {
    if (outcome == RentalOutcome::unknown) {
        rentals_.repeat(name, now);
        return std::nullopt;
    }
    auto request = rentals_.settle(name);
    if (!request) return std::nullopt;
    const auto offering = offeringOf(*request);
    const bool inFull = outcome == RentalOutcome::carriedOut && machines >= request->count;
    if (inFull) {
        refusals_.forget(offering);
    } else {
        refusals_.note(offering, now);
        rentals_.withdrawUnsent(offering);
    }
    return request;
}

void Provisioner::requestRelease(Fleet& fleet, const std::set<std::string>& needed, CloudRequests& requests,
                                 Time now) {
    if (releasing_ || now < nextRelease_) return;
    std::vector<Machine*> machines;
    for (const auto& [id, machine] : fleet.machines()) {
        if (machines.size() >= kMaxPerRelease) break;
        if (mayRelease(*machine, needed, now)) machines.push_back(machine.get());
    }
    if (machines.empty() || !budget_.take(1, 0, now)) return;
    for (auto* machine : machines) {
        machine->releasing = true;  // no starts from here on
        requests.releases.push_back(machine->id);
    }
    releasing_ = true;
    nextRelease_ = now + kBetweenReleases;
}

/// The machine is to be given back: its deletion was asked for before, it stopped or was never up, it is
/// lost, leaves, is faulty, or nobody needs it.
bool Provisioner::mayRelease(const Machine& machine, const std::set<std::string>& needed, Time now) const {
    if (machine.releasing || machine.failed) return true;
    if (!machine.placements.empty() || !machine.reconciled) return false;
    if (!wasUp(machine, replica_)) {
        if (!machine.kind) return false;
        return now - machine.knownSince > ticks(machine.kind->boot * kMaxBoots + kMaxBootMargin);
    }
    const bool lost = !machine.reports && now > machine.leaseUntil + kLostAfter;
    if (lost || machine.draining || isFaulty(machine)) return true;
    return isIdle(machine, now) && !needed.contains(machine.id);
}

/// It has had no task for long, its first minute is over, and no job is to have it.
bool Provisioner::isIdle(const Machine& machine, Time now) const {
    // What takes long to boot is kept longer: its next job would wait for all of that.
    const auto boot = machine.kind ? machine.kind->boot * policy_.bootKeep : Seconds(0);
    const auto keep = std::max(policy_.idleKeep, boot);
    return now - machine.busyUntil > ticks(keep) && now - machine.knownSince > ticks(policy_.minimumKeep) &&
           machine.reservedUntil <= now;
}

void Provisioner::releaseAnswered(bool ok, Time now) {
    releasing_ = false;
    if (!ok) nextRelease_ = now + kRepeatRelease;  // names that are gone already are ignored
}

void Provisioner::requestLists(bool anyTypes, CloudRequests& requests, Time now) {
    if (now >= nextList_ && !listing_ && budget_.take(1, 0, now)) {
        nextList_ = now + std::clamp(ticks(settings_.listLag / 2), kMinListInterval, kMaxListInterval);
        listing_ = true;
        requests.listMachines = true;
    }
    if (now >= nextTypes_ && budget_.take(1, 0, now)) {
        nextTypes_ = now + (anyTypes ? kTypesInterval : kFirstTypesInterval);
        requests.listTypes = true;
    }
}

std::vector<Machine*> Provisioner::vanished(Fleet& fleet, const std::set<std::string>& listed,
                                            Time asked) const {
    const auto lag = ticks(settings_.listLag * kMaxListLags);
    std::vector<Machine*> gone;
    for (const auto& [id, machine] : fleet.machines()) {
        if (listed.contains(id) || machine->releasing || !machine->placements.empty() ||
            !machine->reconciled || machine->reports)
            continue;
        const auto newest =
            machine->session == 0 ? machine->knownSince : std::max(machine->lastReport, machine->knownSince);
        if (asked - newest > lag) gone.push_back(machine.get());
    }
    return gone;
}

}  // namespace burlpoint::coordination
