#pragma once

// A stub of the cloud provider for the upgrade tests. It answers the controllers' HTTP requests and creates
// and deletes the test's machines. Single-threaded: used only on the test's thread.

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/cloud_messages.h"
#include "transport/executor.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "upgrade/machines.h"
#include "upgrade/test_oracle.h"

namespace burlpoint::tests {

/// Offers one machine type in two zones, with at most `kMaxMachinesPerZone` machines in each. A machine is
/// ready as soon as it is created.
class CloudStub {
  public:
    CloudStub(asio::io_context& io, TestOracle& oracle, Machines& machines);

    std::string address() const;

  private:
    static constexpr std::size_t kMaxMachinesPerZone = 4;

    void serve(const transport::Request& request, const transport::Reply& reply);
    std::string encodeInstances() const;
    transport::Response createInstances(const std::string& body);
    void deleteInstances(const std::string& body);
    std::size_t countInZone(const std::string& zone) const;

    TestOracle& oracle_;
    Machines& machines_;
    const protocol::MachineType type_;
    std::map<std::string, std::vector<std::string>> instanceRequests_;  // machine ids, by request
    std::map<std::string, Time> createdAt_;                             // by machine id
    transport::HttpServer server_;
};

}  // namespace burlpoint::tests
