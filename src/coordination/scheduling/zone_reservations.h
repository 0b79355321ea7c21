#pragma once

// Reserves zones for large gangs. A gang whose machines go to smaller jobs as each becomes free would never
// find enough of them at once, so a zone can be reserved for it until it has. Owns which gang has which zone,
// since when and until when. Whether the gang's machines can be had in the zone at all is for the caller to
// know. Used on the leader's thread.

#include <map>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/policy.h"

namespace burlpoint::coordination {

/// Stands for all zones together, for a gang that may be spread over them.
inline const std::string kAllZones;

/// Reservations by zone, or by `kAllZones`. One zone is reserved at a time, so that smaller jobs have another
/// to go to; a gang that is overdue may have a further one. A zone is never shared, so that no two gangs hold
/// half of it each and wait for the other half.
class ZoneReservations {
  public:
    /// Kept by reference; it has to outlive this.
    explicit ZoneReservations(const protocol::Policy& policy);

    /// Reserves the zone for the gang for some seconds from now. To be called again while the gang waits. A
    /// gang that has a zone keeps that one, whichever is asked for. Does nothing for a gang that is younger
    /// than a third of the policy's `longestPassedOver`, nor while an older gang has the reservation.
    void reserve(const bookkeeping::Job& gang, const std::string& zone, Time now);

    /// The gang has its machines, or no longer waits for them.
    void release(const bookkeeping::Job& gang);

    /// Must the job stay off the machine, since the zone is reserved for a gang that waits for such machines?
    /// Never true for the gang itself, for production jobs and for jobs that the gang could not replace.
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
