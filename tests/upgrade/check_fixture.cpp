#include "upgrade/check_fixture.h"

#include "transport/endpoint.h"

namespace burlpoint::tests {

protocol::JobSpec makeSmallJob(const std::string& id, std::vector<std::string> dependencies) {
    protocol::JobSpec spec;
    spec.id = id;
    spec.jobClass = "class";
    spec.team = "team";
    spec.kind = protocol::JobKind::array;
    spec.tasks = 2;
    spec.cpus = spec.memoryGb = 1;
    spec.image = "image";
    spec.imageGb = 1;
    spec.estimatedRunTime = Seconds(1);
    spec.dependencies = std::move(dependencies);
    return spec;
}

std::string firstViolation(const TestOracle& oracle) {
    return oracle.violations.empty() ? "" : oracle.violations.front();
}

ScriptedController::ScriptedController(asio::io_context& io)
    : server_(
          io, transport::parseEndpoint("127.0.0.1:0"), {},
          [this](transport::Request&& request, const transport::Reply& reply) { serve(request, reply); }) {}

ControllerEndpoint ScriptedController::endpoint() const {
    return {"scripted", "127.0.0.1:" + std::to_string(server_.localEndpoint().port())};
}

void ScriptedController::serve(const transport::Request& request, const transport::Reply& reply) {
    ++answeredRequests;
    reply(script(request));
}

}  // namespace burlpoint::tests
