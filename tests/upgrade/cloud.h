#pragma once

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

/// A small stand-in for the cloud: one type of machine in two zones, a few machines in each, up at once.
class CloudStub {
  public:
    CloudStub(asio::io_context& io, Rules& rules, Machines& machines);

    std::string address() const;

  private:
    static constexpr std::size_t kMostInZone = 4;

    void serve(const transport::Request& request, const transport::Reply& reply);
    std::string list() const;
    transport::Response rent(const std::string& body);
    void release(const std::string& body);
    std::size_t machinesIn(const std::string& zone) const;

    Rules& constraints_;
    Machines& machines_;
    const protocol::MachineType type_;
    std::map<std::string, std::vector<std::string>> instanceRequests_;  // by request name
    std::map<std::string, Time> rentedAt_;
    transport::HttpServer server_;
};

}  // namespace burlpoint::tests
