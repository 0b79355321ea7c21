#pragma once

// Selects the offering to request for tasks that no machine has room for. Owns no state.

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

/// How many machines are missing, by offering.
using MissingMachines = std::map<bookkeeping::Offering, std::uint32_t>;

/// Selects the cheapest available offering per task, as of one moment.
class OfferingSelection {
  public:
    /// Both references must outlive this object.
    OfferingSelection(const bookkeeping::MachineTypes& types, const CapacityErrors& capacityErrors, Time now)
        : types_(types), capacityErrors_(capacityErrors), now_(now) {}

    /// The offering with the lowest price per task that fits on one machine, so that unused room counts
    /// against large machines; among equals the first. Empty if none can be requested. `plainObtainable`:
    /// `plainMachineObtainable` for the job. `missing`: what is to be requested already.
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
