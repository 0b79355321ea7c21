#include "bookkeeping/machine_types.h"

#include <algorithm>

namespace burlpoint::bookkeeping {

using protocol::JobSpec;
using protocol::MachineType;

const MachineType* findType(const MachineTypes& types, const std::string& name) {
    const auto found = types.find(name);
    return found == types.end() ? nullptr : &found->second;
}

bool ownerAllows(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
    if (spot && !spec.spot) return false;
    if (spec.zone && *spec.zone != zone) return false;
    return !spec.types || std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

}  // namespace burlpoint::bookkeeping
