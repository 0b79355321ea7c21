#pragma once

// Selects the offering to request for tasks that fit on no existing or requested machine. Owns no state.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/bin_packing.h"
#include "coordination/autoscaling/capacity_errors.h"
#include "protocol/cloud_messages.h"

namespace burlpoint::coordination {

/// The number of missing machines by offering.
using MissingMachines = bookkeeping::MachineCounts;

/// Selects the available offering with the lowest price per task, at one point in time.
class OfferingSelection {
  public:
    /// Both references must outlive this object.
    OfferingSelection(const bookkeeping::MachineTypes& types, const CapacityErrors& capacityErrors, Time now)
        : types_(types), capacityErrors_(capacityErrors), now_(now) {}

    /// Returns the offering with the lowest machine price per task that fits on it, so that unused resources
    /// count against large machines. Of several with the same price, returns the first; empty if none can be
    /// requested. `plainObtainable` is the result of `plainMachineObtainable` for the job, and `missing`
    /// holds the machines already planned to be requested.
    std::optional<bookkeeping::Offering> cheapest(const TaskDemand& demand, bool plainObtainable,
                                                  const MissingMachines& missing) const;

  private:
    struct Choice {
        bookkeeping::Offering offering;
        double pricePerTask = 0;
    };

    bool isCandidate(const protocol::MachineType& type, const TaskDemand& demand, bool plainObtainable) const;
    void considerZone(std::optional<Choice>& best, const protocol::MachineType& type, const std::string& zone,
                      const TaskDemand& demand, const MissingMachines& missing) const;
    bool mayRequest(const bookkeeping::Offering& offering, const MissingMachines& missing) const;

    const bookkeeping::MachineTypes& types_;
    const CapacityErrors& capacityErrors_;
    const Time now_;
};

}  // namespace burlpoint::coordination
