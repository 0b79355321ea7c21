#pragma once

// Which machines a job may use, which of those can be rented for it now, and which are worth their price.
// Pure functions of a job's description, the cloud's types and its refusals; owns nothing.

#include <map>
#include <string>

#include "base/clock.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/capacity_errors.h"

namespace burlpoint::coordination {

using bookkeeping::MachineTypes;
using protocol::JobSpec;

/// Both ways in which a machine of a type and zone is rented: ordinary, and spot, which the cloud may take
/// back.
inline constexpr bool kPurchaseOptions[] = {false, true};

/// Some machine that is large enough for a task of the job, and allowed, could be rented in the zone now.
bool isObtainableIn(const std::string& zone, const JobSpec& spec, const MachineTypes& types,
                    const CapacityErrors& capacityErrors, Time now);

/// Some machine without accelerators that the job may use can still be rented.
bool plainMachineObtainable(const JobSpec& spec, const MachineTypes& types,
                            const CapacityErrors& capacityErrors, Time now);

/// It needs no accelerators and may run nowhere else: its owner allows no machine without them, or none such
/// is large enough.
bool needsAcceleratorMachine(const JobSpec& spec, const MachineTypes& types);

/// False for an array that needs no accelerators and a machine that has them, unless a processor costs there
/// at most twice what it costs on an ordinary plain machine.
bool isWorthItsPrice(const JobSpec& spec, const MachineType& type, bool spot, const MachineTypes& types);

/// What a machine of the type costs, per unit of time as the cloud counts it for all types.
inline double priceOf(const MachineType& type, bool spot) { return spot ? type.spotPrice : type.price; }

}  // namespace burlpoint::coordination
