#pragma once

// Machine types, and what is asked of the cloud and answered by it.

#include <cstdint>
#include <msgpack/object_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"

namespace burlpoint::protocol {

struct MachineType {
    std::string name;
    double cpus = 0;
    double gpus = 0;
    double memoryGb = 0;
    double cacheGb = 0;  // for images
    double fetchGbPerS = 0;
    double price = 0;      // an hour
    double spotPrice = 0;  // an hour; moves all the time
    Seconds boot{0};
    std::vector<std::string> zones;  // that have it
    bool operator==(const MachineType&) const = default;
};

enum class MachineState { booting, running, failed };

/// A machine as the cloud lists it.
struct CloudInstance {
    std::string id;
    std::string address;  // empty until it is known
    std::string type;
    std::string zone;
    bool spot = false;
    MachineState state = MachineState::booting;
    Seconds age{0};  // since it was rented
};

/// A request for machines; a repetition under the same name rents no more.
struct InstanceRequest {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
};

/// A part of the list of machines.
struct InstancePage {
    std::vector<CloudInstance> machines;
    bool more = false;
};

// Each decode function throws Malformed.
std::vector<MachineType> decodeMachineTypes(const msgpack::object& body);
std::string encodeMachineTypes(const std::vector<MachineType>& types);
std::string encodeInstanceRequest(const InstanceRequest& request);
/// The machines rented, by id.
std::vector<std::string> decodeInstanceIds(std::string_view body);
std::string encodeInstanceDeletion(const std::vector<std::string>& machines);
InstancePage decodeInstancePage(std::string_view body);
/// Is this the refusal of a instance request for lack of machines?
bool saysNoCapacity(std::string_view body);

namespace paths {
inline constexpr char kTypes[] = "/flavors";
inline constexpr char kInstanceRequest[] = "/rentals";
inline constexpr char kRelease[] = "/rentals/release";
/// At most `most` machines after that one.
std::string instancePage(const std::string& after, unsigned most);
}  // namespace paths

}  // namespace burlpoint::protocol
