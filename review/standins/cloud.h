#pragma once

// A cloud stand-in after PROTOCOL ("Controller nodes -> cloud"): one machine type in two zones, with a capacity that a
// case sets. Machines are up as soon as they are rented. Single-threaded.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/cloud_messages.h"
#include "transport/http_server.h"
#include "upgrade/machines.h"

namespace review {

class Cloud {
  public:
    Cloud(asio::io_context& io, burlpoint::tests::Machines& machines);
    std::string address() const { return "127.0.0.1:" + std::to_string(server_.localEndpoint().port()); }

    /// The machine stops with all that is on it. It stays listed, as `running` for 30 s and then as `failed`.
    void stopMachine(const std::string& id);

    /// True if no stopped machine is still listed: the controllers have released all of them.
    bool allReleased() const { return stopped_.empty(); }

    std::size_t maxPerZone = 4;  // machines in a zone; beyond them a rental is refused with "no capacity"
    bool noCapacity = false;     // every rental is refused with "no capacity"

  private:
    void serve(const burlpoint::transport::Request& request, const burlpoint::transport::Reply& reply);
    burlpoint::transport::Response rent(const std::string& body);
    std::string list(const std::string& query) const;
    std::size_t countIn(const std::string& zone) const;

    burlpoint::tests::Machines& machines_;
    const burlpoint::protocol::MachineType type_;
    std::map<std::string, std::vector<std::string>> rentals_;
    std::map<std::string, burlpoint::Time> rentedAt_;
    struct Stopped {
        std::string address, zone;
        burlpoint::Time at;
    };
    std::map<std::string, Stopped> stopped_;
    burlpoint::transport::HttpServer server_;
};

}  // namespace review
