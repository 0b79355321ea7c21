#include "protocol/cloud_messages.h"

#include "protocol/enum_names.h"
#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::protocol {

namespace {

constexpr EnumNames<MachineState, 3> kMachineStates{{{"booting", MachineState::booting},
                                                     {"running", MachineState::running},
                                                     {"failed", MachineState::failed}}};

}  // namespace

std::vector<MachineType> decodeMachineTypes(const msgpack::object& body) {
    std::vector<MachineType> types;
    MapReader(body).each("hulls", [&](const msgpack::object& element) {
        const MapReader f(element);
        MachineType t;
        t.name = f.text("label");
        t.cpus = f.amount("cores");
        t.gpus = f.amount("accelerators");
        t.memoryGb = f.amount("ramGb");
        t.cacheGb = f.amount("cacheGb");
        t.fetchGbPerS = f.amount("pullGbPerS");
        t.price = f.amount("rate");
        t.spotPrice = f.amount("marketPrice");
        t.boot = Seconds(f.amount("readyS"));
        t.zones = f.texts("quays");
        types.push_back(std::move(t));
    });
    return types;
}

std::string encodeMachineTypes(const std::vector<MachineType>& types) {
    MessagePacker p;
    p.map(1).key("hulls").list(types.size());
    for (const auto& t : types) {
        p.map(10).field("label", t.name).field("cores", t.cpus).field("accelerators", t.gpus);
        p.field("ramGb", t.memoryGb).field("cacheGb", t.cacheGb).field("pullGbPerS", t.fetchGbPerS);
        p.field("rate", t.price).field("marketPrice", t.spotPrice).field("readyS", t.boot.count());
        p.field("quays", t.zones);
    }
    return p.take();
}

std::string encodeInstanceRequest(const InstanceRequest& r) {
    MessagePacker p;
    p.map(5).field("charter", r.name).field("hull", r.type).field("quay", r.zone).field("driftwood", r.spot);
    return p.field("howMany", r.count).take();
}

std::vector<std::string> decodeInstanceIds(std::string_view body) {
    const auto handle = unpackBody(body);
    return MapReader(handle.get()).texts("bollards");
}

std::string encodeInstanceDeletion(const std::vector<std::string>& machines) {
    return MessagePacker().map(1).field("bollards", machines).take();
}

InstancePage decodeInstancePage(std::string_view body) {
    const auto handle = unpackBody(body);
    const MapReader f(handle.get());
    InstancePage page;
    f.each("bollards", [&](const msgpack::object& element) {
        const MapReader m(element);
        CloudInstance rented;
        rented.id = m.text("uid");
        rented.address = m.maybeText("address").value_or("");
        rented.type = m.text("hull");
        rented.zone = m.text("quay");
        rented.spot = m.flag("driftwood");
        rented.state = parseEnum(kMachineStates, m.text("bearing"));
        rented.age = Seconds(m.maybeAmount("heldS").value_or(0));
        page.machines.push_back(std::move(rented));
    });
    page.more = f.flagOr("hasNext", false);
    return page;
}

bool saysNoCapacity(std::string_view body) {
    try {
        const auto handle = unpackBody(body);
        return MapReader(handle.get()).maybeText("error") == "no capacity";
    } catch (const MalformedMessage&) {
        return false;
    }
}

namespace paths {

std::string instancePage(const std::string& after, unsigned most) {
    return std::string(kInstanceRequest) + "?most=" + std::to_string(most) +
           (after.empty() ? "" : "&since=" + after);
}

}  // namespace paths

}  // namespace burlpoint::protocol
