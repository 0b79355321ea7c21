#pragma once

// Determines which machine types a job may use, which of them can be obtained from the cloud at present, and
// which have an acceptable price for the job. Pure functions of a job's spec, the machine types and the
// capacity errors; owns no state. A "plain" machine is one without accelerators.

#include <string>

#include "base/clock.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/capacity_errors.h"
#include "protocol/cloud_messages.h"
#include "protocol/job_messages.h"

namespace burlpoint::coordination {

/// The values of `Offering::spot`, in the order of preference at equal price: on-demand, then spot.
inline constexpr bool kPurchaseOptions[] = {false, true};

/// True if the zone offers a machine type that is large enough for a task of the job, is allowed by the job's
/// constraints and is available.
bool isObtainableIn(const std::string& zone, const protocol::JobSpec& spec,
                    const bookkeeping::MachineTypes& types, const CapacityErrors& capacityErrors, Time now);

/// True if a plain machine that is large enough and allowed for the job can be obtained in some zone.
bool plainMachineObtainable(const protocol::JobSpec& spec, const bookkeeping::MachineTypes& types,
                            const CapacityErrors& capacityErrors, Time now);

/// True for a job that needs no accelerators but can run only on machines that have some, since its
/// constraints allow no plain machine or no plain machine is large enough.
bool needsAcceleratorMachine(const protocol::JobSpec& spec, const bookkeeping::MachineTypes& types);

/// False for an array that needs no accelerators and could run on plain machines, on a machine type that has
/// accelerators, if a processor there costs more than twice as much as on the plain on-demand machine with
/// the highest price per processor that is large enough for a task. True in all other cases.
bool isPriceAcceptable(const protocol::JobSpec& spec, const protocol::MachineType& type, bool spot,
                       const bookkeeping::MachineTypes& types);

/// The price of a machine of the type, per hour.
inline double priceOf(const protocol::MachineType& type, bool spot) {
    return spot ? type.spotPrice : type.price;
}

}  // namespace burlpoint::coordination
