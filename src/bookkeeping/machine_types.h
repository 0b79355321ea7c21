#pragma once

// The machine types that the cloud offers, and which of them a job's owner allows. Pure functions.

#include <map>
#include <string>

#include "protocol/cloud_messages.h"
#include "protocol/job_messages.h"

namespace burlpoint::bookkeeping {

/// The cloud's machine types by name.
using MachineTypes = std::map<std::string, protocol::MachineType>;

/// Null if the cloud has not listed a type of that name.
const protocol::MachineType* findType(const MachineTypes& types, const std::string& name);

/// True if the job's owner allows it on such a machine. Does not check whether the machine is large enough.
bool ownerAllows(const protocol::JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

}  // namespace burlpoint::bookkeeping
