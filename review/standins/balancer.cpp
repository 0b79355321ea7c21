#include "balancer.h"

#include <algorithm>
#include <cstdio>

#include "transport/endpoint.h"

namespace review {

using namespace std::chrono_literals;
using burlpoint::Clock;
using burlpoint::Duration;
using burlpoint::Time;

void Record::write(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", seconds());
    out_ << time << line << std::endl;
}

void Wire::request(const std::string& method, const std::string& path, const std::string& body, Duration timeout,
                   Done done) {
    done_ = std::move(done);
    in_.clear();
    out_ = method + " " + path + " HTTP/1.1\r\nHost: " + address_ +
           (body.empty() ? "" : "\r\nContent-Type: application/msgpack") +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](auto error) {
        if (!error && self->done_) self->close();
    });
    if (open_) return send();
    socket_.async_connect(burlpoint::transport::parseEndpoint(address_), [self = shared_from_this()](auto error) {
        if (error || self->closed_) return self->close();
        self->open_ = true;
        self->send();
    });
}

void Wire::send() {
    asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](auto error, auto) {
        if (error) self->close();
    });
    if (!reading_) read();
}

void Wire::read() {
    reading_ = true;
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](auto error, auto bytes) {
        if (error || self->closed_) return self->close();
        self->in_.append(self->buffer_.data(), bytes);
        const auto end = self->in_.find("\r\n\r\n");
        if (end == std::string::npos) return self->read();
        const auto head = self->in_.substr(0, end);
        const auto at = head.find("Content-Length: ");
        const std::size_t length = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
        if (self->in_.size() < end + 4 + length) return self->read();
        const int status = std::stoi(head.substr(9, 3));
        auto body = self->in_.substr(end + 4, length);
        const bool close = head.find("Connection: close") != std::string::npos;
        auto done = std::exchange(self->done_, nullptr);
        self->timer_.cancel();
        if (close) self->close();
        if (done) done(status, std::move(body));
        if (!self->closed_) self->read();
    });
}

void Wire::close() {
    if (!std::exchange(closed_, true)) {
        asio::error_code ignored;
        timer_.cancel();
        socket_.close(ignored);
    }
    if (auto done = std::exchange(done_, nullptr)) done(0, "");
}

Balancer::Balancer(asio::io_context& io, std::vector<std::string> addresses, Record& record)
    : io_(io), nodes_(addresses.size()), record_(record) {
    for (std::size_t i = 0; i < addresses.size(); ++i) nodes_[i].address = std::move(addresses[i]);
}

std::optional<std::size_t> Balancer::choose() const {
    std::optional<std::size_t> best;
    std::size_t fewest = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!nodes_[i].healthy) continue;
        const auto open = static_cast<std::size_t>(
            std::count_if(nodes_[i].wires.begin(), nodes_[i].wires.end(), [](const auto& weak) {
                const auto wire = weak.lock();
                return wire && wire->usable();
            }));
        if (best && open >= fewest) continue;
        best = i;
        fewest = open;
    }
    return best;
}

void Balancer::step(Time now) {
    for (auto& node : nodes_) {
        if (!node.healthy && node.everHealthy && now - node.unhealthySince > 5s && !node.wires.empty()) {
            for (const auto& weak : node.wires)
                if (const auto wire = weak.lock()) wire->close();
            node.wires.clear();
        }
        if (node.probing || now < node.nextProbe) continue;
        node.probing = true;
        node.nextProbe = now + 1s;
        if (!node.probe || !node.probe->usable()) node.probe = std::make_shared<Wire>(io_, node.address);
        node.probe->request("GET", "/ready", "", Duration(1000), [this, &node](int status, const std::string&) {
            node.probing = false;
            probed(node, status == 200);
        });
    }
}

void Balancer::probed(Node& node, bool ready) {
    const auto now = Clock::now();
    node.last.push_back(ready);
    if (node.last.size() > 6) node.last.pop_front();
    node.successes = ready ? node.successes + 1 : 0;
    node.failures = ready ? 0 : node.failures + 1;
    if (node.healthy) {
        const auto failed = std::count(node.last.begin(), node.last.end(), false);
        if (node.failures < 2 && failed < 3) return;
        node.healthy = false;
        node.unhealthySince = now;
        if (node.removals++ > 0) node.pause = std::min(node.pause * 2, Duration(60'000));
        record_.write("balancer: " + node.address + " is unhealthy");
    } else {
        const bool back = node.everHealthy ? node.successes >= 2 && now - node.unhealthySince >= node.pause : ready;
        if (!back) return;
        node.healthy = node.everHealthy = true;
        node.last.clear();
        record_.write("balancer: " + node.address + " is healthy");
    }
}

}  // namespace review
