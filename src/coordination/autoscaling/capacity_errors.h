#pragma once

// What the cloud refused to rent lately. Owns the back-off of each offering; placement and provisioning ask
// it whether more machines could be had.

#include <map>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"

namespace burlpoint::coordination {

using bookkeeping::Offering;
using protocol::MachineType;

/// The refusals per offering (type, zone, spot or ordinary) since it was last granted in full.
class CapacityErrors {
  public:
    /// The cloud gave fewer machines than were asked for, or none: the offering is left alone for a pause,
    /// which doubles with each refusal in a row up to a bound.
    void note(const Offering& offering, Time now);

    /// The cloud gave all that was asked for: earlier refusals no longer count.
    void forget(const Offering& offering);

    /// The pause after the offering's last refusal is not over.
    bool refused(const Offering& offering, Time now) const;

    /// It was refused since it was last granted in full, whether or not the pause is over.
    bool remembered(const Offering& offering) const { return capacityErrors_.contains(offering); }

    /// Ordinary machines of the type are refused in every zone that has the type.
    bool unavailableEverywhere(const MachineType& type, Time now) const;

    /// All offerings whose pause is not over, in their order.
    std::vector<Offering> unavailableNow(Time now) const;

  private:
    struct CapacityError {
        Time until{};             // the end of the pause
        Clock::duration pause{};  // its length
    };

    std::map<Offering, CapacityError> capacityErrors_;
};

}  // namespace burlpoint::coordination
