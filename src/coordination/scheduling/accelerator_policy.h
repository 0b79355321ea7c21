// Which work without accelerators may use machines that have them. Such machines are few and slow to come by,
// so room is left on them for the jobs that need them. Owns what those jobs have asked for, how many of the
// machines were given over to replicas, and what room there is on other machines.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/instance_selection.h"

namespace burlpoint::coordination {

/// Work that needs no accelerators may use machines that have them, but only so far that a job that does need
/// them can still have the room: at once, or by stopping lower work.
class AcceleratorPolicy {
  public:
    /// Both are kept by reference and have to outlive this.
    AcceleratorPolicy(const bookkeeping::MachineTypes& types, const CapacityErrors& capacityErrors);

    /// Room is left for the job from now on, on all types of machines that it may use. Does nothing for a job
    /// without accelerators.
    void recordNeed(const bookkeeping::Job& job);

    /// Counts anew what room there is. `up`: the machines whose workers report to this leader, each once. It
    /// walks over them, so it is not for each heartbeat.
    void refresh(const std::vector<const bookkeeping::Machine*>& up, Time now);

    /// May one more task of the job start on the machine, as far as its accelerators go? Always true for a
    /// job that needs accelerators, on a machine without any, and for one that has waited for a minute with
    /// no task on a machine.
    bool allows(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

  private:
    /// What jobs with accelerators have asked of a machine type.
    struct Need {
        bookkeeping::Resources most;  // of each resource by itself
        protocol::Priority lowest;    // of their priorities
    };
    /// Machines of a type.
    struct Shared {
        std::uint32_t withoutRoom = 0;  // their replicas leave no room for the type's need
        std::uint32_t all = 0;
    };
    struct ZoneAndKind {
        std::string zone;
        bool spot = false;
        auto operator<=>(const ZoneAndKind&) const = default;
    };

    bool replicaMayShare(const bookkeeping::Machine& machine, Time now) const;
    bool moreObtainable(const std::string& type, Time now) const;

    const bookkeeping::MachineTypes& types_;
    const CapacityErrors& capacityErrors_;
    std::map<std::string, Need> needs_;        // by type
    std::map<std::string, Shared> shared_;     // by type
    std::map<ZoneAndKind, double> plainRoom_;  // processors that replicas could have without accelerators
};

}  // namespace burlpoint::coordination
