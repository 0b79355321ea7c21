#pragma once

// Records which offerings the cloud recently had no capacity for, and owns the back-off of each offering. The
// autoscaler records capacity errors here; the autoscaler and the scheduler query whether more machines can
// be obtained.

#include <map>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/cloud_messages.h"

namespace burlpoint::coordination {

/// The capacity errors of each offering (machine type, zone, spot or on-demand) since an instance request for
/// it was last fulfilled in full.
class CapacityErrors {
  public:
    /// Records that the cloud provided fewer machines than requested, or none. The offering is unavailable
    /// for a back-off that starts at 4 s and doubles with each consecutive error, up to 16 s.
    void record(const bookkeeping::Offering& offering, Time now);

    /// Records that an instance request was fulfilled in full: earlier errors of the offering no longer
    /// count.
    void clear(const bookkeeping::Offering& offering);

    /// True while the back-off after the offering's last capacity error lasts.
    bool isUnavailable(const bookkeeping::Offering& offering, Time now) const;

    /// True if there was a capacity error since the offering was last fulfilled in full, whether or not the
    /// back-off is over.
    bool hasRecentError(const bookkeeping::Offering& offering) const { return backOffs_.contains(offering); }

    /// True if on-demand machines of the type are unavailable in every zone that offers the type.
    bool unavailableEverywhere(const protocol::MachineType& type, Time now) const;

    /// All offerings that are unavailable at `now`, in the order of `Offering`.
    std::vector<bookkeeping::Offering> unavailableNow(Time now) const;

  private:
    struct BackOff {
        Time until{};
        Clock::duration length{};
    };

    std::map<bookkeeping::Offering, BackOff> backOffs_;
};

}  // namespace burlpoint::coordination
