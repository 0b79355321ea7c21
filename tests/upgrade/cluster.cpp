#include "upgrade/cluster.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "base/clock.h"
#include "protocol/msgpack_codec.h"
#include "transport/executor.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;

namespace {

constexpr auto kStepDuration = 5ms;

protocol::Settings commonSettings() {
    protocol::Settings settings;
    settings.heartbeatInterval = Seconds(0.5);
    settings.workerLease = Seconds(6);
    settings.gangWaitTimeout = Seconds(10);
    settings.gangPeerTimeout = Seconds(3);
    settings.cancelTimeout = Seconds(24);
    return settings;
}

std::string nameOf(std::size_t controller) { return "controller-" + std::to_string(controller); }

std::string zoneOf(std::size_t controller) { return controller % 2 == 0 ? "a" : "b"; }

std::vector<std::unique_ptr<ReservedPort>> reservePorts() {
    std::vector<std::unique_ptr<ReservedPort>> ports;
    for (std::size_t i = 0; i < Cluster::kControllers; ++i) ports.push_back(std::make_unique<ReservedPort>());
    return ports;
}

std::vector<ControllerEndpoint> makeControllerEndpoints(
    const std::vector<std::unique_ptr<ReservedPort>>& ports) {
    std::vector<ControllerEndpoint> controllers;
    for (std::size_t i = 0; i < ports.size(); ++i) controllers.push_back({nameOf(i), ports[i]->address()});
    return controllers;
}

std::vector<std::unique_ptr<StoreStub>> makeStoreEndpoints(asio::io_context& io) {
    std::vector<std::unique_ptr<StoreStub>> endpoints;
    for (std::size_t i = 0; i < Cluster::kControllers; ++i)
        endpoints.push_back(
            std::make_unique<StoreStub>(io, endpoints.empty() ? nullptr : endpoints.front().get()));
    return endpoints;
}

}  // namespace

Cluster::Cluster(StoreLimits limits)
    : settings(commonSettings()),
      limits_(limits),
      ports_(reservePorts()),
      peerPorts_(reservePorts()),
      controllers_(makeControllerEndpoints(ports_)),
      storeEndpoints_(makeStoreEndpoints(io_)),
      storeCheck(oracle, storeEndpoints_.front()->store),
      machines(io_, oracle, settings, controllers_,
               [this](const std::string& job) { return storeCheck.isDone(job); }),
      users(io_, oracle, controllers_),
      cloud_(io_, oracle, machines),
      versions_(kControllers),
      processes_(kControllers) {
    for (std::size_t i = 0; i < kControllers; ++i) std::ofstream(settingsFile(i)) << settingsText(i);
}

Cluster::~Cluster() {
    processes_.clear();
    if (!oracle.violations.empty()) printLogs();
    while (storeEndpoints_.size() > 1) storeEndpoints_.pop_back();  // the others unregister from the first
}

std::string Cluster::settingsFile(std::size_t controller) const {
    return directory_.path() / (nameOf(controller) + ".toml");
}

std::string Cluster::logFile(std::size_t controller) const {
    return directory_.path() / (nameOf(controller) + ".log");
}

std::string Cluster::settingsText(std::size_t controller) const {
    std::ostringstream text;
    text << "label = \"" << nameOf(controller) << "\"\n"
         << "area = \"" << zoneOf(controller) << "\"\n"
         << "bind = \"" << ports_[controller]->address() << "\"\n"
         << "peer_bind = \"" << peerPorts_[controller]->address() << "\"\n";
    for (std::size_t other = 0; other < kControllers; ++other) {
        if (other == controller) continue;
        text << "[[known]]\nlabel = \"" << nameOf(other) << "\"\narea = \"" << zoneOf(other) << "\"\n"
             << "peer_addr = \"" << peerPorts_[other]->address() << "\"\n";
    }
    text << "[services]\ncloud = \"" << cloud_.address() << "\"\n"
         << "state = \"" << storeEndpoints_[controller]->address() << "\"\n"
         << "[cluster]\nnodes = " << kControllers << "\nzones = [\"a\", \"b\"]\nclock_error_ms = 10.0\n"
         << "[[cluster.teams]]\nname = \"team\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"
         << "[cluster.workers]\nreport_s = " << settings.heartbeatInterval.count()
         << "\nlease_s = " << settings.workerLease.count()
         << "\ngang_wait_s = " << settings.gangWaitTimeout.count()
         << "\ngang_peer_s = " << settings.gangPeerTimeout.count()
         << "\ncancel_s = " << settings.cancelTimeout.count()
         << "\n[cluster.state]\nrps = 2000.0\nwrite_rps = 1000.0\nvalue_kb = " << limits_.currentValueKb
         << "\ntxn_ops = " << limits_.currentTxnOps
         << "\n[cluster.state.next]\nvalue_kb = " << limits_.nextValueKb
         << "\ntxn_ops = " << limits_.nextTxnOps << "\n[cluster.cloud]\nrps = 20.0\nlist_lag_s = 0.0\n"
         << "[cluster.limits]\ncore_share = 1.0\nmem_mb = 200.0\nmax_connections = 500\n";
    return text.str();
}

void Cluster::start(std::size_t controller, const Version& version) {
    kill(controller);
    versions_[controller] = version;
    processes_[controller] =
        std::make_unique<ControllerProcess>(version.binary, settingsFile(controller), logFile(controller));
}

void Cluster::startAll(const Version& version) {
    for (std::size_t i = 0; i < kControllers; ++i) start(i, version);
}

std::optional<std::size_t> Cluster::leader() const {
    const auto& values = storeEndpoints_.front()->store.values;
    const auto found = values.find(storage::keys::kLeader);
    if (found == values.end()) return std::nullopt;
    const auto record = storage::decodeLeader(protocol::unpackBody(found->second.data).get());
    if (record.fencingToken != machines.highestFencingToken()) return std::nullopt;
    for (std::size_t i = 0; i < kControllers; ++i)
        if (nameOf(i) == record.node && isRunning(i)) return i;
    return std::nullopt;
}

void Cluster::makeLeader(std::size_t controller) {
    for (std::size_t i = 0; i < kControllers; ++i)
        if (i != controller) kill(i);
    waitUntil(nameOf(controller) + " (" + versions_[controller].name + ") leads",
              [&] { return leader() == controller; });
}

void Cluster::restoreLeader(std::size_t controller) {
    setStoreOutageFor(controller, false);
    makeLeader(controller);
    for (std::size_t i = 0; i < kControllers; ++i)
        if (i != controller) start(i, versions_[i]);
}

std::size_t Cluster::waitForLeader() {
    waitUntil("a controller leads", [&] { return leader().has_value(); });
    return *leader();
}

void Cluster::setStoreOutage(bool outage) {
    for (const auto& endpoint : storeEndpoints_) endpoint->outage = outage;
    if (outage_ && !outage) {
        storeEndpoints_.front()->renewAllLeases(Clock::now());
        storeEndpoints_.front()->answerWatches();
    }
    outage_ = outage;
}

void Cluster::applyNextLimits() {
    auto& limits = storeEndpoints_.front()->store.limits;
    limits.maxValueBytes = static_cast<std::size_t>(limits_.nextValueKb * 1024);
    limits.ops = limits_.nextTxnOps;
}

void Cluster::waitUntil(const std::string& description, const std::function<bool()>& condition) {
    std::cout << "waiting until " << description << std::endl;
    while (!condition()) step();
}

void Cluster::step() {
    io_.run_for(kStepDuration);
    const auto now = Clock::now();
    if (!outage_) storeEndpoints_.front()->expireLeasesAndWatches(now);
    storeCheck.step();
    machines.step(now);
    users.step(now);
    checkProcesses();
    if (!oracle.violations.empty()) throw InvariantViolation(oracle.violations.front());
}

void Cluster::checkProcesses() {
    for (std::size_t i = 0; i < kControllers; ++i)
        oracle.require(!processes_[i] || processes_[i]->isRunning(), nameOf(i) + " has exited unexpectedly");
}

void Cluster::printLogs() const {
    for (std::size_t i = 0; i < kControllers; ++i)
        std::cout << "--- log of " << nameOf(i) << "\n" << std::ifstream(logFile(i)).rdbuf() << std::endl;
}

}  // namespace burlpoint::tests
