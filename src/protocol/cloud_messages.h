#pragma once

// The messages exchanged with the cloud: machine types, instance requests and the list of machines. Holds no
// state.

#include <cstdint>
#include <msgpack/object_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"

namespace burlpoint::protocol {

/// A type of machine that the cloud offers.
struct MachineType {
    std::string name;
    double cpus = 0;
    double gpus = 0;
    double memoryGb = 0;
    double cacheGb = 0;              ///< disk space for cached images
    double fetchGbPerS = 0;          ///< speed at which a machine fetches images
    double price = 0;                ///< price per hour of an on-demand machine
    double spotPrice = 0;            ///< price per hour of a spot machine; changes continually
    Seconds bootTime{0};             ///< time until the worker of a new machine runs
    std::vector<std::string> zones;  ///< the zones that offer the type
    bool operator==(const MachineType&) const = default;
};

enum class MachineState { booting, running, failed };

/// A machine as the cloud lists it.
struct CloudInstance {
    std::string id;
    std::string address;  ///< empty until the cloud has assigned one
    std::string type;
    std::string zone;
    bool spot = false;
    MachineState state = MachineState::booting;
    Seconds age{0};  ///< time since the instance request; 0 if the cloud does not report it
};

/// A request for machines. It is idempotent: repeated under the same name, it adds no machines.
struct InstanceRequest {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
};

/// A page of the list of machines.
struct InstancePage {
    std::vector<CloudInstance> machines;
    bool hasMore = false;  ///< another page follows
};

// Each decode function throws `MalformedMessage`.

std::vector<MachineType> decodeMachineTypes(const msgpack::object& body);
std::string encodeMachineTypes(const std::vector<MachineType>& types);
std::string encodeInstanceRequest(const InstanceRequest& request);
/// Decodes the ids of the machines that an instance request has added.
std::vector<std::string> decodeInstanceIds(std::string_view body);
/// `machines`: the ids of the machines to delete.
std::string encodeInstanceDeletion(const std::vector<std::string>& machines);
InstancePage decodeInstancePage(std::string_view body);
/// True if the body of an error response reports that the cloud has no capacity. False for a malformed body.
bool isCapacityError(std::string_view body);

namespace paths {
inline constexpr char kTypes[] = "/flavors";            ///< machine types
inline constexpr char kInstanceRequest[] = "/rentals";  ///< POST: a request; GET: the list of machines
inline constexpr char kInstanceDeletion[] = "/rentals/release";
/// The request target for the page of at most `limit` machines whose ids sort after `after`.
std::string instancePage(const std::string& after, unsigned limit);
}  // namespace paths

}  // namespace burlpoint::protocol
