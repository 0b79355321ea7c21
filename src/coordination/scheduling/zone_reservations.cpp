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

// A reservation lapses after this time unless it is renewed. Preemption rounds renew it and reach each
// waiting gang every few seconds.
constexpr auto kRenewalTimeout = 10s;
// A reserved zone alternates between an interval in which it is exclusive to its gang and an open interval in
// which jobs that have waited may start, too.
constexpr auto kExclusiveInterval = 60s;
constexpr auto kOpenInterval = 30s;
// A job may start in the open interval if it has waited for this long without any task on a machine.
constexpr auto kMinWaitInOpenInterval = 20s;
// A gang has to wait for the policy's `starvationThreshold` divided by this before it has a zone reserved.
constexpr double kMinAgeDivisor = 3;

}  // namespace

ZoneReservations::ZoneReservations(const protocol::Policy& policy) : policy_(policy) {}

void ZoneReservations::reserve(const Job& gang, const std::string& zone, Time now) {
    std::erase_if(byZone_, [&](const auto& entry) { return entry.second.until <= now; });
    const auto own = std::find_if(byZone_.begin(), byZone_.end(),
                                  [&](const auto& entry) { return entry.second.gang == &gang; });
    if (own != byZone_.end()) {
        own->second.until = now + kRenewalTimeout;
        return;
    }
    const auto readyAt = gang.run->readyAt;
    if (now - readyAt <= policy_.starvationThreshold / kMinAgeDivisor) return;
    const auto holder = byZone_.find(zone);
    const bool taken = holder != byZone_.end();
    // The oldest gang has precedence; otherwise a sequence of younger gangs could starve it.
    const bool olderThanHolder = taken && readyAt < holder->second.gang->run->readyAt;
    const bool mayHaveFurtherZone = gang.run->overdue && !taken;
    if (olderThanHolder || byZone_.empty() || mayHaveFurtherZone)
        byZone_[zone] = {&gang, now + kRenewalTimeout, now};
}

void ZoneReservations::release(const Job& gang) {
    std::erase_if(byZone_, [&](const auto& entry) { return entry.second.gang == &gang; });
}

bool ZoneReservations::excludes(const Job& job, const Machine& machine, Time now) const {
    if (byZone_.empty() || !machine.typeInfo || job.priority() == Priority::production) return false;
    return std::any_of(byZone_.begin(), byZone_.end(), [&](const auto& entry) {
        const auto& [zone, reservation] = entry;
        if (reservation.until <= now || reservation.gang == &job) return false;
        if (zone != kAllZones && machine.zone != zone) return false;
        if (inOpenInterval(reservation, now) && job.run->hasWaitedUnstarted(kMinWaitInOpenInterval, now))
            return false;
        return competes(job, *reservation.gang, machine);
    });
}

bool ZoneReservations::inOpenInterval(const Reservation& reservation, Time now) {
    return (now - reservation.since) % (kExclusiveInterval + kOpenInterval) >= kExclusiveInterval;
}

/// True if the gang waits for machines like this one and the job would take the machine from it. Jobs of
/// lower priority do not compete, since the gang may preempt them.
bool ZoneReservations::competes(const Job& job, const Job& gang, const Machine& machine) {
    if (job.priority() < gang.priority()) return false;
    const bool needsSameMachines = gang.spec.gpus > 0 ? job.spec.gpus > 0 : job.spec.kind == JobKind::gang;
    if (!needsSameMachines) return false;
    return bookkeeping::capacityOf(*machine.typeInfo).covers(bookkeeping::needOf(gang.spec));
}

}  // namespace burlpoint::coordination
