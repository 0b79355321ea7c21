#pragma once

// The users' side: a load balancer at connection level and users who keep their connections, both as PROTOCOL
// describes them ("Users -> controller nodes"). Single-threaded.

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio.hpp>

#include "base/clock.h"

namespace review {

/// What was sent, answered and run, with the seconds since the start.
class Record {
  public:
    explicit Record(const std::string& path) : out_(path), start_(burlpoint::Clock::now()) {}
    void write(const std::string& line);
    double seconds() const { return burlpoint::Seconds(burlpoint::Clock::now() - start_).count(); }

  private:
    std::ofstream out_;
    burlpoint::Time start_;
};

/// One HTTP/1.1 connection with one request at a time.
class Wire : public std::enable_shared_from_this<Wire> {
  public:
    /// Called with the status (0: no answer) and the body.
    using Done = std::function<void(int, std::string)>;
    Wire(asio::io_context& io, std::string address) : socket_(io), timer_(io), address_(std::move(address)) {}
    void request(const std::string& method, const std::string& path, const std::string& body,
                 burlpoint::Duration timeout, Done done);
    void close();
    /// False once either side has closed the connection.
    bool usable() const { return !closed_; }

  private:
    void send();
    void read();
    void finish(int status, std::string body);
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::string address_, out_, in_;
    std::array<char, 8192> buffer_;
    Done done_;
    bool open_ = false, closed_ = false, reading_ = false;
};

/// Probes the nodes and chooses one for each new connection.
class Balancer {
  public:
    Balancer(asio::io_context& io, std::vector<std::string> addresses, Record& record);
    /// The node for a new connection: a healthy one with the fewest open connections.
    std::optional<std::size_t> choose() const;
    void opened(std::size_t node, const std::shared_ptr<Wire>& wire) { nodes_[node].wires.push_back(wire); }
    const std::string& address(std::size_t node) const { return nodes_[node].address; }
    void step(burlpoint::Time now);

  private:
    struct Node {
        std::string address;
        bool healthy = false, everHealthy = false, probing = false;
        std::deque<bool> last;
        int successes = 0, failures = 0, removals = 0;
        burlpoint::Time nextProbe{}, unhealthySince{};
        burlpoint::Duration pause{3000};
        std::vector<std::weak_ptr<Wire>> wires;
        std::shared_ptr<Wire> probe;
    };
    void probed(Node& node, bool ready);
    asio::io_context& io_;
    std::vector<Node> nodes_;
    Record& record_;
};

}  // namespace review
