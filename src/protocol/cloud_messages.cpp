#include "protocol/cloud_messages.h"

#include "protocol/enum_names.h"
#include "protocol/map_reader.h"
#include "protocol/message_packer.h"
#include "protocol/wire_names.h"

namespace burlpoint::protocol {

namespace {

constexpr EnumNames<MachineState, 3> kMachineStates{{{"booting", MachineState::booting},
                                                     {"running", MachineState::running},
                                                     {"failed", MachineState::failed}}};

MachineType decodeMachineType(const MapReader& fields) {
    MachineType type;
    type.name = fields.text(wire::cloud::kTypeName);
    type.cpus = fields.amount(wire::kCpus);
    type.gpus = fields.amount(wire::kGpus);
    type.memoryGb = fields.amount(wire::kMemoryGb);
    type.cacheGb = fields.amount(wire::cloud::kCacheGb);
    type.fetchGbPerS = fields.amount(wire::cloud::kFetchGbPerS);
    type.price = fields.amount(wire::cloud::kPrice);
    type.spotPrice = fields.amount(wire::cloud::kSpotPrice);
    type.bootTime = Seconds(fields.amount(wire::cloud::kBootS));
    type.zones = fields.texts(wire::kZones);
    return type;
}

void packMachineType(MessagePacker& packer, const MachineType& type) {
    packer.map(10);
    packer.field(wire::cloud::kTypeName, type.name);
    packer.field(wire::kCpus, type.cpus);
    packer.field(wire::kGpus, type.gpus);
    packer.field(wire::kMemoryGb, type.memoryGb);
    packer.field(wire::cloud::kCacheGb, type.cacheGb);
    packer.field(wire::cloud::kFetchGbPerS, type.fetchGbPerS);
    packer.field(wire::cloud::kPrice, type.price);
    packer.field(wire::cloud::kSpotPrice, type.spotPrice);
    packer.field(wire::cloud::kBootS, type.bootTime.count());
    packer.field(wire::kZones, type.zones);
}

CloudInstance decodeInstance(const MapReader& fields) {
    CloudInstance instance;
    instance.id = fields.text(wire::kId);
    instance.address = fields.maybeText(wire::kAddress).value_or("");
    instance.type = fields.text(wire::kMachineType);
    instance.zone = fields.text(wire::kZone);
    instance.spot = fields.flag(wire::kSpot);
    instance.state = parseEnum(kMachineStates, fields.text(wire::kState));
    instance.age = Seconds(fields.maybeAmount(wire::cloud::kAgeS).value_or(0));
    return instance;
}

}  // namespace

std::vector<MachineType> decodeMachineTypes(const msgpack::object& body) {
    std::vector<MachineType> types;
    MapReader(body).each(wire::kMachineTypes, [&](const msgpack::object& element) {
        types.push_back(decodeMachineType(MapReader(element)));
    });
    return types;
}

std::string encodeMachineTypes(const std::vector<MachineType>& types) {
    MessagePacker packer;
    packer.map(1).key(wire::kMachineTypes).list(types.size());
    for (const auto& type : types) packMachineType(packer, type);
    return packer.str();
}

std::string encodeInstanceRequest(const InstanceRequest& request) {
    MessagePacker packer;
    packer.map(5);
    packer.field(wire::cloud::kRequestName, request.name);
    packer.field(wire::kMachineType, request.type);
    packer.field(wire::kZone, request.zone);
    packer.field(wire::kSpot, request.spot);
    packer.field(wire::cloud::kCount, request.count);
    return packer.str();
}

std::vector<std::string> decodeInstanceIds(std::string_view body) {
    const auto handle = unpackBody(body);
    return MapReader(handle.get()).texts(wire::kMachines);
}

std::string encodeInstanceDeletion(const std::vector<std::string>& machines) {
    return MessagePacker().map(1).field(wire::kMachines, machines).str();
}

InstancePage decodeInstancePage(std::string_view body) {
    const auto handle = unpackBody(body);
    const MapReader fields(handle.get());
    InstancePage page;
    fields.each(wire::kMachines, [&](const msgpack::object& element) {
        page.machines.push_back(decodeInstance(MapReader(element)));
    });
    page.hasMore = fields.flagOr(wire::kHasMore, false);
    return page;
}

bool isCapacityError(std::string_view body) { return decodeErrorReply(body) == wire::cloud::kNoCapacity; }

namespace paths {

std::string instancePage(const std::string& after, unsigned limit) {
    std::string target = kInstanceRequest;
    target.append("?").append(wire::query::kLimit).append(std::to_string(limit));
    if (!after.empty()) target.append("&").append(wire::query::kAfter).append(after);
    return target;
}

}  // namespace paths

}  // namespace burlpoint::protocol
