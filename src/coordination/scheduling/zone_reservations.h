#pragma once

// Reserves zones for large gangs. If each machine that becomes free went to a smaller job, a large gang would
// never find enough machines at once, so a zone can be reserved for it until it does. Owns the reservations
// with their gang, start and end. Callers must check that the zone has enough machines for the gang at all.
// Used on the leader's thread.

#include <map>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/policy.h"

namespace burlpoint::coordination {

/// Denotes all zones together, for a gang that may use machines in several zones.
inline const std::string kAllZones;

/// Reservations by zone, or by `kAllZones`. Only one zone is reserved at a time, so that smaller jobs can use
/// another one; an overdue gang may reserve a further zone. A zone is reserved for one gang only. Otherwise
/// two gangs could deadlock, each holding half of the zone and waiting for the other half.
class ZoneReservations {
  public:
    /// Keeps a reference to the policy, which must outlive this object.
    explicit ZoneReservations(const protocol::Policy& policy);

    /// Reserves the zone for the gang for 10 s. Must be called again to renew the reservation while the gang
    /// waits. A gang that has a zone keeps it, whichever zone is passed. Replaces the reservation of a
    /// younger gang for the zone. Does nothing for a gang that has been ready for at most a third of the
    /// policy's `starvationThreshold`, while an older gang has the zone, or, unless the gang is overdue,
    /// while only other zones are reserved.
    void reserve(const bookkeeping::Job& gang, const std::string& zone, Time now);

    /// Ends the gang's reservation. To be called when the gang has its machines or no longer waits for them.
    void release(const bookkeeping::Job& gang);

    /// True if the job may not use the machine because its zone is reserved for a gang that waits for such
    /// machines. Never true for the gang itself, for production jobs and for jobs that do not compete with
    /// the gang: those of lower priority, which it may preempt, and those that need other machines. After
    /// each 60 s of a reservation there are 30 s in which it is also false for jobs that have waited for 20 s
    /// without any task on a machine.
    bool excludes(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

  private:
    struct Reservation {
        const bookkeeping::Job* gang = nullptr;
        Time until{};
        Time since{};
    };

    static bool competes(const bookkeeping::Job& job, const bookkeeping::Job& gang,
                         const bookkeeping::Machine& machine);
    static bool inOpenInterval(const Reservation& reservation, Time now);

    const protocol::Policy& policy_;
    std::map<std::string, Reservation> byZone_;
};

}  // namespace burlpoint::coordination
