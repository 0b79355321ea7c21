#pragma once

// Common parts of the tests that verify the invariant checks of the upgrade tests. For each check, one test
// feeds it a controller or a store that violates the invariant and expects the check to report it; another
// feeds it a correct controller or store and expects no report.

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"
#include "transport/executor.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "upgrade/machines.h"
#include "upgrade/test_oracle.h"

namespace burlpoint::tests {

constexpr char kJob[] = "wk-1";
constexpr char kDependent[] = "wk-2";
constexpr auto kStepDuration = std::chrono::milliseconds(5);  // event loop time between two steps of a check

/// An array job of two tasks, with one CPU and 1 GB each.
protocol::JobSpec makeSmallJob(const std::string& id, std::vector<std::string> dependencies = {});

/// The first recorded violation; empty if there is none.
std::string firstViolation(const TestOracle& oracle);

/// A controller stub that listens on a loopback port of its own and answers each HTTP request with the result
/// of the test's script.
class ScriptedController {
  public:
    using Script = std::function<transport::Response(const transport::Request&)>;

    explicit ScriptedController(asio::io_context& io);

    ControllerEndpoint endpoint() const;
    Script script;  // must be set before the first request arrives
    std::size_t answeredRequests = 0;

  private:
    void serve(const transport::Request& request, const transport::Reply& reply);

    transport::HttpServer server_;
};

}  // namespace burlpoint::tests
