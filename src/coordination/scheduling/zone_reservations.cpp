#include "coordination/scheduling/zone_reservations.h"

#include <algorithm>
#include <chrono>

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::Machine;
using protocol::JobKind;
using protocol::Priority;
using namespace std::chrono_literals;

namespace {

// A waiting gang has its turn, and renews its zone, every few seconds at most.
constexpr auto kRenewedFor = 10s;
// A zone is kept for a gang for so long, then what has waited has its turn there, and so on.
constexpr auto kGangsTurn = 60s;
constexpr auto kOthersTurn = 30s;
// How long other work must have waited without any task on a machine to use its turn.
constexpr auto kOthersMinWait = 20s;
// The share of the longest time to be passed over that a gang waits before it has a zone kept.
constexpr double kPatienceDivisor = 3;

}  // namespace

ZoneReservations::ZoneReservations(const protocol::Policy& policy) : policy_(policy) {}

void ZoneReservations::reserve(const Job& gang, const std::string& zone, Time now) {
    std::erase_if(byZone_, [&](const auto& entry) { return entry.second.until <= now; });
    const auto own = std::find_if(byZone_.begin(), byZone_.end(),
                                  [&](const auto& entry) { return entry.second.gang == &gang; });
    if (own != byZone_.end()) {  // it stays where it began
        own->second.until = now + kRenewedFor;
        return;
    }
    const auto readyAt = gang.run->readyAt;
    if (now - readyAt <= policy_.longestPassedOver / kPatienceDivisor) return;
    const auto holder = byZone_.find(zone);
    const bool taken = holder != byZone_.end();
    // The oldest goes first, or one after the other might be younger.
    const bool olderThanHolder = taken && readyAt < holder->second.gang->run->readyAt;
    const bool mayHaveAnother = gang.run->overdue && !taken;
    if (olderThanHolder || byZone_.empty() || mayHaveAnother) byZone_[zone] = {&gang, now + kRenewedFor, now};
}

void ZoneReservations::release(const Job& gang) {
    std::erase_if(byZone_, [&](const auto& entry) { return entry.second.gang == &gang; });
}

bool ZoneReservations::excludes(const Job& job, const Machine& machine, Time now) const {
    if (byZone_.empty() || !machine.typeInfo || job.priority() == Priority::production) return false;
    return std::any_of(byZone_.begin(), byZone_.end(), [&](const auto& entry) {
        const auto& [zone, reservation] = entry;
        if (reservation.until <= now || reservation.gang == &job) return false;
        if (!zone.empty() && machine.zone != zone) return false;
        if (isOthersTurn(reservation, now) && job.run->hasWaitedUnstarted(kOthersMinWait, now)) return false;
        return reaches(reservation, job, machine);
    });
}

bool ZoneReservations::isOthersTurn(const Reservation& reservation, Time now) {
    return (now - reservation.since) % (kGangsTurn + kOthersTurn) >= kGangsTurn;
}

/// Is the machine one that the gang waits for, and the job one that would take it from the gang? Lower work
/// would not, as it yields.
bool ZoneReservations::reaches(const Reservation& reservation, const Job& job, const Machine& machine) {
    const auto& gang = reservation.gang->spec;
    if (job.priority() < reservation.gang->priority()) return false;
    const bool needsTheSame = gang.gpus > 0 ? job.spec.gpus > 0 : job.spec.kind == JobKind::gang;
    if (!needsTheSame) return false;
    return bookkeeping::sizeOf(*machine.typeInfo).covers(bookkeeping::needOf(gang));
}

}  // namespace burlpoint::coordination
