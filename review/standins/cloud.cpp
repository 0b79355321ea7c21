#include "cloud.h"

#include "protocol/errors.h"
#include "protocol/job_messages.h"
#include "protocol/msgpack_codec.h"
#include "transport/endpoint.h"

namespace review {

using namespace burlpoint;
using protocol::MapReader;
using protocol::MessagePacker;

Cloud::Cloud(asio::io_context& io, tests::Machines& machines)
    : machines_(machines),
      type_{"plain", 16, 0, 64, 10, 1, 0.8, 0.3, Seconds(2), {"a", "b"}},
      server_(io, transport::parseEndpoint("127.0.0.1:0"), {},
              [this](transport::Request&& request, const transport::Reply& reply) { serve(request, reply); }) {}

void Cloud::serve(const transport::Request& request, const transport::Reply& reply) {
    transport::Response response;
    try {
        if (request.path == "/flavors") {
            response.body = protocol::encodeMachineTypes({type_});
        } else if (request.path == "/rentals/release") {
            const auto handle = protocol::unpackBody(request.body);
            for (const auto& id : MapReader(handle.get()).texts("bollards")) {
                machines_.remove(id);
                stopped_.erase(id);
            }
        } else if (request.path != "/rentals") {
            response.status = 404;
        } else if (request.method == "POST") {
            response = rent(request.body);
        } else {
            response.body = list(request.query);
        }
    } catch (const protocol::MalformedMessage&) {
        response.status = 400;
    }
    reply(response);
}

void Cloud::stopMachine(const std::string& id) {
    const auto& worker = *machines_.workers().at(id);
    stopped_[id] = {worker.address(), worker.zone(), Clock::now()};
    machines_.remove(id);
}

std::size_t Cloud::countIn(const std::string& zone) const {
    std::size_t count = 0;
    for (const auto& [id, worker] : machines_.workers()) count += worker->zone() == zone;
    return count;
}

transport::Response Cloud::rent(const std::string& body) {
    const auto handle = protocol::unpackBody(body);
    const MapReader fields(handle.get());
    const auto zone = fields.text("quay");
    auto& rented = rentals_[fields.text("charter")];
    transport::Response response;
    // The stand-in has ordinary machines only; there is never capacity for spot machines.
    if (rented.empty() && !noCapacity && !fields.flag("driftwood")) {
        for (auto left = fields.integer("howMany"); left > 0 && countIn(zone) < maxPerZone; --left) {
            rented.push_back(machines_.create(type_, zone));
            rentedAt_[rented.back()] = Clock::now();
        }
    }
    if (rented.empty()) {
        response.status = 503;
        response.body = protocol::encodeErrorReply("no capacity");
    } else {
        response.body = MessagePacker().map(1).field("bollards", rented).str();
    }
    return response;
}

/// All machines in one page; a case has far fewer than 500.
std::string Cloud::list(const std::string& query) const {
    std::string since;
    if (const auto at = query.find("since="); at != std::string::npos)
        since = query.substr(at + 6, query.find('&', at) - at - 6);
    std::map<std::string, Stopped> listed = stopped_;
    for (const auto& [id, worker] : machines_.workers()) listed[id] = {worker->address(), worker->zone(), Time::max()};
    std::erase_if(listed, [&](const auto& entry) { return entry.first <= since; });
    MessagePacker packer;
    packer.map(2).key("bollards").list(listed.size());
    const auto now = Clock::now();
    for (const auto& [id, machine] : listed) {
        const bool failed = machine.at < now && now - machine.at > std::chrono::seconds(30);
        packer.map(7).field("uid", id).field("address", machine.address).field("hull", type_.name);
        packer.field("quay", machine.zone).field("driftwood", false).field("bearing", failed ? "failed" : "running");
        packer.field("heldS", Seconds(now - rentedAt_.at(id)).count());
    }
    return packer.field("hasNext", false).str();
}

}  // namespace review
