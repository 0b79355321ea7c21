#pragma once

// The stand-in for the cloud in the upgrade tests. It answers the controllers' HTTP requests and creates and
// deletes the machines of the test. Used on the test's one thread.

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/cloud_messages.h"
#include "transport/executor.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "upgrade/machines.h"
#include "upgrade/rules.h"

namespace burlpoint::tests {

/// One machine type in two zones, with a few machines in each. They are up at once.
class CloudStub {
  public:
    CloudStub(asio::io_context& io, Rules& rules, Machines& machines);

    std::string address() const;

  private:
    static constexpr std::size_t kMaxMachinesInZone = 4;

    void serve(const transport::Request& request, const transport::Reply& reply);
    std::string list() const;
    transport::Response createInstances(const std::string& body);
    void deleteInstances(const std::string& body);
    std::size_t machinesIn(const std::string& zone) const;

    Rules& rules_;
    Machines& machines_;
    const protocol::MachineType type_;
    std::map<std::string, std::vector<std::string>> instanceRequests_;  // by request name
    std::map<std::string, Time> createdAt_;
    transport::HttpServer server_;
};

}  // namespace burlpoint::tests
