#pragma once

// What the tests of the upgrade tests' checks have in common. Each check is shown a controller or a store
// that breaks its rule and has to name it, and one that keeps all rules, of which it has to say nothing.

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
#include "upgrade/rules.h"

namespace burlpoint::tests {

constexpr char kJob[] = "wk-1";
constexpr char kDependent[] = "wk-2";
constexpr auto kStep = std::chrono::milliseconds(5);  // of a test's loop

/// An array of two tasks.
protocol::JobSpec makeSmallJob(const std::string& id, std::vector<std::string> dependencies = {});

/// Empty if no rule was broken.
std::string firstBrokenRule(const Rules& rules);

/// Answers HTTP requests as the test says, at an address of its own.
class ScriptedController {
  public:
    using Script = std::function<transport::Response(const transport::Request&)>;

    explicit ScriptedController(asio::io_context& io);

    Controller address() const;
    Script script;  // has to be set before the first request
    std::size_t answered = 0;

  private:
    void serve(const transport::Request& request, const transport::Reply& reply);

    transport::HttpServer server_;
};

}  // namespace burlpoint::tests
