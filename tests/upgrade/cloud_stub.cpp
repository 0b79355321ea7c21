#include "upgrade/cloud_stub.h"

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"
#include "transport/endpoint.h"

namespace burlpoint::tests {

using protocol::MapReader;
using protocol::MessagePacker;

CloudStub::CloudStub(asio::io_context& io, TestOracle& oracle, Machines& machines)
    : oracle_(oracle),
      machines_(machines),
      type_{"plain", 16, 0, 64, 10, 1, 1, 1, Seconds(1), {"a", "b"}},
      server_(
          io, transport::parseEndpoint("127.0.0.1:0"), {},
          [this](transport::Request&& request, const transport::Reply& reply) { serve(request, reply); }) {}

std::string CloudStub::address() const {
    return "127.0.0.1:" + std::to_string(server_.localEndpoint().port());
}

void CloudStub::serve(const transport::Request& request, const transport::Reply& reply) {
    transport::Response response;
    try {
        if (request.path == protocol::paths::kTypes) {
            response.body = protocol::encodeMachineTypes({type_});
        } else if (request.path == protocol::paths::kInstanceDeletion) {
            deleteInstances(request.body);
        } else if (request.path != protocol::paths::kInstanceRequest) {
            response.status = 404;
        } else if (request.method == "POST") {
            response = createInstances(request.body);
        } else {
            response.body = encodeInstances();
        }
    } catch (const protocol::MalformedMessage& error) {
        oracle_.require(false, std::string("malformed request to the cloud: ") + error.what());
        response.status = 400;
    }
    reply(response);
}

/// Encodes all machines as a single page. The limit per zone keeps their number below the page size.
std::string CloudStub::encodeInstances() const {
    MessagePacker packer;
    packer.map(2).key("bollards").list(machines_.workers().size());
    for (const auto& [id, worker] : machines_.workers()) {
        const Seconds held = Clock::now() - createdAt_.at(id);
        packer.map(7).field("uid", id).field("address", worker->address()).field("hull", type_.name);
        packer.field("quay", worker->zone()).field("driftwood", false).field("bearing", "running");
        packer.field("heldS", held.count());
    }
    return packer.field("hasNext", false).str();
}

std::size_t CloudStub::countInZone(const std::string& zone) const {
    std::size_t count = 0;
    for (const auto& [id, worker] : machines_.workers()) count += worker->zone() == zone;
    return count;
}

transport::Response CloudStub::createInstances(const std::string& body) {
    const auto handle = protocol::unpackBody(body);
    const MapReader fields(handle.get());
    const auto name = fields.text("charter"), zone = fields.text("quay");
    auto& created = instanceRequests_[name];
    transport::Response response;
    if (created.empty()) {
        for (auto remaining = fields.integer("howMany");
             remaining > 0 && countInZone(zone) < kMaxMachinesPerZone; --remaining) {
            created.push_back(machines_.create(type_, zone));
            createdAt_[created.back()] = Clock::now();
        }
    }
    if (created.empty()) {
        response.status = 503;
        response.body = protocol::encodeErrorReply("no capacity");
    } else {
        response.body = MessagePacker().map(1).field("bollards", created).str();
    }
    return response;
}

void CloudStub::deleteInstances(const std::string& body) {
    const auto handle = protocol::unpackBody(body);
    for (const auto& id : MapReader(handle.get()).texts("bollards")) machines_.remove(id);
}

}  // namespace burlpoint::tests
