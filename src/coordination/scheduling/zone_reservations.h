// Zones kept for large gangs. A gang whose machines go to smaller work as each comes free would never find
// enough of them at once, so a zone can be kept for it until it has. Owns which gang has which zone, and
// since when; whether a gang's machines could be had there at all is for its caller to know.
#pragma once

#include <map>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// The zones that are kept, by name; the empty name stands for all zones at once, for a gang that may be
/// spread over them. One zone is kept at a time, so that smaller work has another to go to; a gang that is
/// overdue may have a further one. No two gangs wait for each other's halves in the same zone.
class ZoneReservations {
  public:
    /// Kept by reference; it has to outlive this.
    explicit ZoneReservations(const protocol::Policy& policy);

    /// Keeps the zone for the gang for some seconds from now, to be renewed by further calls while it waits.
    /// A gang that has a zone keeps that one, whichever is asked for. Nothing happens for a gang that is
    /// younger than a third of the operators' `longest-passed-over-s`, or while an older one has its turn.
    void reserve(const bookkeeping::Job& gang, const std::string& zone, Time now);

    /// The gang has its machines or no longer waits for them.
    void release(const bookkeeping::Job& gang);

    /// Must the job stay off the machine, as a gang that waits for machines like this one has its zone? Never
    /// true for the gang itself, for production, and for work that the gang could not replace.
    bool excludes(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

  private:
    struct Reservation {
        const bookkeeping::Job* gang = nullptr;
        Time until{};
        Time since{};
    };

    static bool reaches(const Reservation& reservation, const bookkeeping::Job& job,
                        const bookkeeping::Machine& machine);
    static bool isOthersTurn(const Reservation& reservation, Time now);

    const protocol::Policy& policy_;
    std::map<std::string, Reservation> byZone_;
};

}  // namespace burlpoint::coordination
