#include "rig.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "protocol/map_reader.h"
#include "protocol/message_packer.h"
#include "protocol/msgpack_codec.h"
#include "storage/keys.h"
#include "storage/records.h"
#include "transport/endpoint.h"

namespace review {

using burlpoint::protocol::JobKind;
using burlpoint::protocol::MapReader;
using burlpoint::protocol::MessagePacker;
using burlpoint::tests::ReservedPort;
using burlpoint::tests::StoreStub;
using burlpoint::transport::HttpResult;
using burlpoint::transport::Reply;
using burlpoint::transport::Request;
using burlpoint::transport::Response;
using namespace std::chrono_literals;

namespace {

constexpr auto kReportTimeout = 4s;
constexpr auto kNextNodeAfter = 1s;
constexpr auto kLeastBetweenReports = 500ms;

Clock::duration ticks(double seconds) {
    return std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
}

const char* word(Worker::Bearing bearing) {
    switch (bearing) {
        case Worker::Bearing::fetching:
            return "fetching";
        case Worker::Bearing::waiting:
            return "waiting";
        case Worker::Bearing::running:
            return "running";
        case Worker::Bearing::saving:
            return "saving";
        case Worker::Bearing::exited:
            return "exited";
    }
    return "";
}

std::string nameOf(const Worker::Key& key) {
    return key.job + "/" + std::to_string(key.task) + " launch " + std::to_string(key.launch);
}

std::string parameter(const std::string& query, const std::string& name) {
    std::istringstream parts(query);
    for (std::string part; std::getline(parts, part, '&');)
        if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
    return "";
}

}  // namespace

// ---- worker

Worker::Worker(Rig& rig, std::string workerId, const MachineType& machineType, std::string machineZone,
               bool isSpot, Time reportsFrom)
    : id(std::move(workerId)),
      zone(std::move(machineZone)),
      type(machineType),
      spot(isSpot),
      rig_(rig),
      leaseFrom_(reportsFrom),
      next_(reportsFrom),
      server_(rig.io, burlpoint::transport::parseEndpoint("127.0.0.1:0"), {},
              [this](Request&& request, const Reply& reply) { serve(request, reply); }) {
    node_ = rig_.random() % rig_.site.nodes;
}

std::string Worker::address() const {
    return "127.0.0.1:" + std::to_string(server_.localEndpoint().port());
}

double Worker::freeCores() const {
    double used = 0;
    for (const auto& [key, task] : tasks)
        if (task.bearing != Bearing::exited) used += rig_.job(key.job).spec.cpus;
    return type.cores - used;
}

bool Worker::holds(const std::string& job) const {
    return std::any_of(tasks.begin(), tasks.end(), [&](const auto& entry) {
        return entry.first.job == job && entry.second.bearing != Bearing::exited;
    });
}

const Worker::Key* Worker::active(const std::string& job, std::uint32_t task) const {
    for (const auto& [key, state] : tasks)
        if (key.job == job && key.task == task && state.bearing != Bearing::exited) return &key;
    return nullptr;
}

void Worker::changed(Time now) { next_ = std::min(next_, std::max(now, earliest_)); }

void Worker::setBearing(const Key& key, Bearing bearing, Time now) {
    auto& task = tasks.at(key);
    task.bearing = bearing;
    task.since = now;
    if (bearing == Bearing::running) {
        task.fails = faulty;
        rig_.note(id + " runs " + nameOf(key) + (faulty ? " (the machine is faulty)" : ""));
    }
    changed(now);
}

void Worker::exit(const Key& key, const std::string& why, Time now) {
    tasks.at(key).wreck = why;
    rig_.note(id + " exit " + nameOf(key) + " " + why);
    setBearing(key, Bearing::exited, now);
}

void Worker::expireLease(Time now) {
    if (now - leaseFrom_ <= ticks(rig_.site.leaseS)) return;
    if (!tasks.empty()) rig_.note(id + " lease over, drops " + std::to_string(tasks.size()) + " tasks");
    tasks.clear();
    ++watch;
    leaseFrom_ = now;
    changed(now);
}

void Worker::step(Time now) {
    if (now < leaseFrom_ && knot == 0) return;  // it does not report yet
    expireLease(now);
    std::vector<Key> keys;
    for (const auto& [key, task] : tasks) keys.push_back(key);
    for (const auto& key : keys) {
        const auto task = tasks.at(key);
        if (task.bearing == Bearing::exited) continue;
        auto& job = rig_.job(key.job);
        if (task.bearing == Bearing::fetching) {
            auto& ready = fetchedAt_.try_emplace(job.spec.image, now + ticks(job.image_s)).first->second;
            if (now < ready) continue;
            if (job.done.contains(key.task))
                exit(key, "done", now);
            else
                setBearing(key, job.spec.kind == JobKind::gang ? Bearing::waiting : Bearing::running, now);
        } else if (task.bearing == Bearing::running) {
            if (task.fails) {
                const auto at = failAt ? std::max(*failAt, task.since) : task.since + ticks(failAfterS);
                if (now >= at) exit(key, "error", now);
            } else if (job.spec.kind == JobKind::array && now - task.since >= ticks(job.runS)) {
                job.done.insert(key.task);
                exit(key, "done", now);
            }
        } else if (task.bearing == Bearing::saving && now - task.since >= ticks(job.spec.saveTime.count())) {
            tasks.at(key).stored = true;
            exit(key, "halted", now);
        }
    }
    if (!inFlight_ && now >= next_) report(now);
}

std::string Worker::body() {
    MessagePacker p;
    p.map(10).field("bollard", id).field("address", address()).field("hull", type.label).field("quay", zone);
    p.field("driftwood", spot).field("watch", watch).field("knot", ++knot).field("helm", helm).nil("recallS");
    p.key("hands").list(tasks.size());
    for (const auto& [key, task] : tasks) {
        const bool exited = task.bearing == Bearing::exited;
        p.map(3 + exited + task.stored);
        p.field("hand", key.job + "/" + std::to_string(key.task)).field("launch", key.launch);
        p.field("bearing", word(task.bearing));
        if (exited) p.field("wreck", task.wreck);
        if (task.stored) p.field("stored", true);
    }
    return p.str();
}

void Worker::report(Time now) {
    inFlight_ = true;
    earliest_ = now + kLeastBetweenReports;
    const double vary = std::uniform_real_distribution<>(0.75, 1.25)(rig_.random);
    next_ = now + ticks(rig_.site.reportS * vary);
    lastReportAt = now;
    reportHasRunning = std::any_of(tasks.begin(), tasks.end(),
                                   [](const auto& e) { return e.second.bearing == Bearing::running; });
    rig_.http.request(rig_.nodeAddresses[node_], "POST", "/checkin", body(), kReportTimeout,
                      [weak = weak_from_this(), now, session = watch](const HttpResult& result) {
                          if (const auto self = weak.lock()) self->answered(result, now, session);
                      });
}

void Worker::nextNode(Time now) {
    node_ = (node_ + 1) % rig_.site.nodes;
    next_ = earliest_ = now + kNextNodeAfter;
}

void Worker::answered(const HttpResult& result, Time sent, std::uint64_t session) {
    const auto now = Clock::now();
    inFlight_ = false;
    expireLease(now);
    if (now - sent > kReportTimeout) return nextNode(now);
    if (result.status == 200) {
        const auto handle = burlpoint::protocol::unpackBody(result.body);
        const auto token = MapReader(handle.get()).integerOr("helm", 0);
        if (session != watch || token < helm || token == 0) return;  // dropped
        if (token > helm) changed(now);
        helm = token;
        leaseFrom_ = std::max(leaseFrom_, sent);
        execute(handle.get(), sent, now);
        return;
    }
    if (result.status != 421) return nextNode(now);
    std::string named;
    if (!result.body.empty()) {
        const auto handle = burlpoint::protocol::unpackBody(result.body);
        named = MapReader(handle.get()).maybeText("harbormaster").value_or("");
    }
    for (std::size_t node = 0; node < rig_.site.nodes; ++node) {
        if (rig_.nodeName(node) != named || node == node_) continue;
        node_ = node;
        next_ = now;
        return;
    }
    nextNode(now);
}

void Worker::execute(const msgpack::object& commands, Time reportSent, Time now) {
    MapReader(commands).each("orders", [&](const msgpack::object& element) {
        const MapReader order(element);
        const auto kind = order.text("order");
        const auto hand = order.text("hand");
        const auto slash = hand.find('/');
        const Key key{hand.substr(0, slash), static_cast<std::uint32_t>(std::stoul(hand.substr(slash + 1))),
                      order.integer("launch")};
        const auto known = tasks.find(key);
        if (kind == "start") {
            if (known == tasks.end()) start(key, reportSent, now);
        } else if (known == tasks.end()) {
            return;
        } else if (kind == "clear") {
            if (known->second.bearing != Bearing::exited) return;
            tasks.erase(known);
            changed(now);
        } else if (kind == "kill") {
            auto& task = known->second;
            if (task.bearing == Bearing::exited) return;
            const auto& spec = rig_.job(key.job).spec;
            const double grace = order.amount("moorS");
            const bool saves = spec.checkpointInterval.count() > 0 && grace >= spec.saveTime.count();
            if (task.bearing == Bearing::saving && grace > 0) return;
            if (task.bearing == Bearing::running && saves)
                setBearing(key, Bearing::saving, now);
            else
                exit(key, "halted", now);
        }
    });
}

std::string Worker::refusal(const Key& key) const {
    const auto found = rig_.jobs.find(key.job);
    if (found == rig_.jobs.end() || !found->second.submitted || key.task >= found->second.spec.tasks)
        return "no_such";
    if (active(key.job, key.task)) return "busy";
    double cores = found->second.spec.cpus, accelerators = found->second.spec.gpus,
           ram = found->second.spec.memoryGb;
    for (const auto& [other, task] : tasks) {
        if (task.bearing == Bearing::exited) continue;
        const auto& spec = rig_.job(other.job).spec;
        cores += spec.cpus;
        accelerators += spec.gpus;
        ram += spec.memoryGb;
    }
    constexpr double kRounding = 1e-6;
    const bool fits = cores <= type.cores + kRounding && accelerators <= type.accelerators + kRounding &&
                      ram <= type.ramGb + kRounding;
    return fits ? "" : "full";
}

void Worker::start(const Key& key, Time reportSent, Time now) {
    const auto why = refusal(key);
    rig_.note(id + " start " + nameOf(key) + (why.empty() ? "" : " refused: " + why));
    tasks[key] = {Bearing::fetching, "", false, false, now};
    changed(now);
    if (!why.empty()) {
        if (why != "no_such") return exit(key, why, now);
        tasks[key].wreck = why;
        tasks[key].bearing = Bearing::exited;
        return;
    }
    auto& job = rig_.job(key.job);
    ++job.starts;
    job.lastStart = now;
    if (rig_.onStartCommand) rig_.onStartCommand(*this, key, reportSent);
}

void Worker::serve(const Request& request, const Reply& reply) {
    const auto now = Clock::now();
    expireLease(now);
    Response response;
    if (request.path == "/orders") {
        const auto handle = burlpoint::protocol::unpackBody(request.body);
        const MapReader fields(handle.get());
        if (!fields.find("helm") || !fields.find("watch")) {
            response.status = 400;
            return reply(response);
        }
        const auto token = fields.integer("helm");
        if (token < helm || fields.integer("watch") != watch) {
            response.status = 409;
        } else {
            if (token > helm) changed(now);
            helm = token;
            execute(handle.get(), now, now);
        }
    } else if (request.path != "/status") {
        response.status = 404;
        return reply(response);
    }
    response.body = body();
    reply(response);
}

// ---- cloud

Cloud::Cloud(Rig& rig)
    : rig_(rig),
      server_(rig.io, burlpoint::transport::parseEndpoint("127.0.0.1:0"), {},
              [this](Request&& request, const Reply& reply) { serve(request, reply); }) {}

std::string Cloud::address() const { return "127.0.0.1:" + std::to_string(server_.localEndpoint().port()); }

const MachineType& Cloud::type(const std::string& label) const {
    return *std::find_if(rig_.site.types.begin(), rig_.site.types.end(),
                         [&](const auto& t) { return t.label == label; });
}

void Cloud::step(Time now) {
    for (auto& [id, machine] : machines) {
        if (machine.goneAt) continue;
        if (!machine.worker && now >= machine.upAt) {
            machine.worker =
                std::make_shared<Worker>(rig_, id, type(machine.type), machine.zone, machine.spot, now);
            rig_.note(id + " is up (" + machine.type + ", " + machine.zone + ")");
        }
        if (machine.worker) machine.worker->step(now);
    }
}

std::shared_ptr<Worker> Cloud::addRunning(const std::string& label, const std::string& zone,
                                          Time reportsFrom) {
    std::ostringstream id;
    id << "m-" << std::setw(6) << std::setfill('0') << ++created_;
    const auto longAgo = Clock::now() - std::chrono::seconds(72);
    auto& machine = machines[id.str()] = {label, zone, false, longAgo, longAgo + std::chrono::seconds(20), {}, nullptr};
    machine.worker = std::make_shared<Worker>(rig_, id.str(), type(label), zone, false, reportsFrom);
    return machine.worker;
}

void Cloud::serve(const Request& request, const Reply& reply) {
    Response response;
    if (request.path == "/flavors") {
        MessagePacker p;
        p.map(1).key("hulls").list(rig_.site.types.size());
        for (const auto& t : rig_.site.types) {
            p.map(10).field("label", t.label).field("cores", t.cores).field("accelerators", t.accelerators);
            p.field("ramGb", t.ramGb).field("cacheGb", t.cacheGb).field("pullGbPerS", t.pullGbPerS);
            p.field("rate", t.rate).field("marketPrice", t.marketPrice).field("readyS", t.readyS);
            p.field("quays", t.quays);
        }
        response.body = p.str();
    } else if (request.path == "/rentals" && request.method == "POST") {
        response = rent(request.body);
    } else if (request.path == "/rentals") {
        ++listsServed;
        response.body = list(request.query);
    } else if (request.path == "/rentals/release") {
        const auto handle = burlpoint::protocol::unpackBody(request.body);
        for (const auto& id : MapReader(handle.get()).texts("bollards")) {
            const auto found = machines.find(id);
            if (found == machines.end() || found->second.goneAt) continue;
            found->second.goneAt = Clock::now();
            found->second.worker = nullptr;
            ++machinesReleased;
            rig_.note(id + " released");
        }
        response.body = MessagePacker().map(0).str();
    } else {
        response.status = 404;
    }
    reply(response);
}

Response Cloud::rent(const std::string& body) {
    const auto now = Clock::now();
    const auto handle = burlpoint::protocol::unpackBody(body);
    const MapReader fields(handle.get());
    const auto charter = fields.text("charter"), label = fields.text("hull"), zone = fields.text("quay");
    ++rentalRequests;
    lastRentalRequest = now;
    auto& rented = charters_[charter];
    Response response;
    if (rented.empty()) {
        std::size_t inUse = 0;
        for (const auto& [id, machine] : machines)
            inUse += !machine.goneAt && machine.type == label && machine.zone == zone;
        const auto found = rig_.site.capacity.find(label + " " + zone);
        const std::size_t most = found == rig_.site.capacity.end() ? 0 : found->second;
        for (auto left = fields.integer("howMany"); left > 0 && inUse < most; --left, ++inUse) {
            std::ostringstream id;
            id << "m-" << std::setw(6) << std::setfill('0') << ++created_;
            machines[id.str()] = {label, zone, fields.flag("driftwood"), now, now + ticks(rig_.site.bootS),
                                  {},    nullptr};
            rented.push_back(id.str());
            ++machinesRented;
        }
    }
    rig_.note("rental request " + charter + " " + label + " " + zone + ": " + std::to_string(rented.size()) +
              " machines");
    if (rented.empty()) {
        charters_.erase(charter);
        response.status = 503;
        response.body = MessagePacker().map(1).field("error", "no capacity").str();
    } else {
        response.body = MessagePacker().map(1).field("bollards", rented).str();
    }
    return response;
}

/// The list as it was `list_lag_s` ago.
std::string Cloud::list(const std::string& query) const {
    const auto since = parameter(query, "since");
    const auto mostText = parameter(query, "most");
    const std::size_t most = mostText.empty() ? 500 : std::stoul(mostText);
    const auto asOf = Clock::now() - ticks(rig_.site.listLagS);
    std::vector<const std::pair<const std::string, Machine>*> listed;
    bool more = false;
    for (const auto& entry : machines) {
        const auto& machine = entry.second;
        if (entry.first <= since || machine.rentedAt > asOf) continue;
        if (machine.goneAt && *machine.goneAt <= asOf) continue;
        if (listed.size() >= most) {
            more = true;
            break;
        }
        listed.push_back(&entry);
    }
    MessagePacker p;
    p.map(2).key("bollards").list(listed.size());
    for (const auto* entry : listed) {
        const auto& machine = entry->second;
        p.map(7).field("uid", entry->first);
        p.field("address", machine.worker ? machine.worker->address() : std::string());
        p.field("hull", machine.type).field("quay", machine.zone).field("driftwood", machine.spot);
        p.field("bearing", machine.upAt <= asOf ? "running" : "booting");
        p.field("heldS", Seconds(asOf - machine.rentedAt).count());
    }
    return p.field("hasNext", more).str();
}

// ---- controller

Controller::Controller(const std::string& binary, const std::string& settingsFile, const std::string& log) {
    const int logFile = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        dup2(logFile, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execl(binary.c_str(), binary.c_str(), "--config", settingsFile.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    close(logFile);
    if (pid_ < 0) throw std::runtime_error("fork failed");
}

Controller::~Controller() {
    if (exited_) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

bool Controller::isRunning() {
    if (!exited_ && waitpid(pid_, nullptr, WNOHANG) == pid_) exited_ = true;
    return !exited_;
}

std::size_t Controller::memoryKb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("RssAnon:")) return std::stoul(line.substr(8));
    return 0;
}

// ---- the deployment

Rig::Rig(Site deployment, const std::string& binary, const std::string& recordFile)
    : site(std::move(deployment)), binary_(binary), record_(recordFile) {
    for (unsigned node = 0; node < site.nodes; ++node) {
        store.push_back(std::make_unique<StoreStub>(io, store.empty() ? nullptr : store.front().get()));
        ports_.push_back(std::make_unique<ReservedPort>());
        peerPorts_.push_back(std::make_unique<ReservedPort>());
        nodeAddresses.push_back(ports_.back()->address());
    }
    auto& limits = store.front()->store.limits;
    limits.ops = site.txnOps;
    limits.maxValueBytes = static_cast<std::size_t>(site.valueKb * 1024);
    cloud = std::make_unique<Cloud>(*this);
}

Rig::~Rig() {
    controllers_.clear();
    while (store.size() > 1) store.pop_back();
}

std::string Rig::settings(std::size_t node) const {
    const auto zoneOf = [&](std::size_t n) { return site.zones[n % site.zones.size()]; };
    std::ostringstream t;
    t << std::fixed << std::setprecision(3);
    t << "label = \"" << nodeName(node) << "\"\narea = \"" << zoneOf(node) << "\"\nbind = \""
      << ports_[node]->address() << "\"\npeer_bind = \"" << peerPorts_[node]->address() << "\"\n";
    for (std::size_t other = 0; other < site.nodes; ++other) {
        if (other == node) continue;
        t << "[[known]]\nlabel = \"" << nodeName(other) << "\"\narea = \"" << zoneOf(other)
          << "\"\npeer_addr = \"" << peerPorts_[other]->address() << "\"\n";
    }
    t << "[services]\ncloud = \"" << cloud->address() << "\"\nstate = \"" << store[node]->address()
      << "\"\n[cluster]\nnodes = " << site.nodes << "\nzones = [";
    for (std::size_t i = 0; i < site.zones.size(); ++i) t << (i ? ", " : "") << '"' << site.zones[i] << '"';
    t << "]\nclock_error_ms = 25.0\n";
    for (const auto& team : site.teams)
        t << "[[cluster.teams]]\nname = \"" << team << "\"\ncpus = " << site.teamCpus
          << "\ncpus_max = " << site.teamCpusMax << "\ngpus = 0.0\ngpus_max = 0.0\n";
    t << site.objectives << "[cluster.workers]\nreport_s = " << site.reportS << "\nlease_s = " << site.leaseS
      << "\ngang_wait_s = " << site.gangWaitS << "\ngang_peer_s = " << site.gangPeerS
      << "\ncancel_s = " << site.cancelS << "\n[cluster.state]\nrps = " << site.rps
      << "\nwrite_rps = " << site.writeRps << "\nvalue_kb = " << site.valueKb
      << "\ntxn_ops = " << site.txnOps << "\n[cluster.cloud]\nrps = " << site.cloudRps
      << "\nlist_lag_s = " << site.listLagS << "\n[cluster.limits]\ncore_share = " << site.coreShare
      << "\nmem_mb = " << site.memMb << "\nmax_connections = " << site.maxConnections << "\n";
    return t.str();
}

void Rig::startController(std::size_t node) {
    controllers_[node].reset();
    const auto file = (directory_.path() / (nodeName(node) + ".toml")).string();
    std::ofstream(file) << settings(node);
    const char* logs = std::getenv("REVIEW_LOGS");
    const auto log = std::string(logs ? logs : directory_.path().string()) + "/" + nodeName(node) + ".log";
    controllers_[node] = std::make_unique<Controller>(binary_, file, log);
}

void Rig::startControllers() {
    controllers_.resize(site.nodes);
    for (std::size_t node = 0; node < site.nodes; ++node) startController(node);
    note(std::to_string(site.nodes) + " controllers started");
}

bool Rig::controllersRun() {
    return std::all_of(controllers_.begin(), controllers_.end(),
                       [](const auto& controller) { return !controller || controller->isRunning(); });
}

void Rig::note(const std::string& line) {
    record_ << "[" << std::fixed << std::setprecision(3) << std::setw(8) << elapsed() << "] " << line
            << std::endl;
}

int Rig::conclude(bool broken, const std::string& why) {
    note(std::string(broken ? "BROKEN: " : "HELD: ") + why);
    std::cout << (broken ? "BROKEN: " : "HELD: ") << why << std::endl;
    return broken ? 1 : 0;
}

void Rig::step() {
    io.run_for(2ms);
    io.restart();
    const auto now = Clock::now();
    store.front()->expireLeasesAndWatches(now);
    cloud->step(now);
    stepGangs(now);
    if (pollUsers) poll(now);
    if (!controllersRun()) throw std::runtime_error("a controller has ended by itself");
}

bool Rig::waitFor(const std::string& what, double limitS, const std::function<bool()>& condition) {
    const auto until = Clock::now() + ticks(limitS);
    while (!condition()) {
        if (Clock::now() > until) {
            note("in vain: " + what);
            return false;
        }
        step();
    }
    note("reached: " + what);
    return true;
}

void Rig::runFor(double seconds) {
    const auto until = Clock::now() + ticks(seconds);
    while (Clock::now() < until) step();
}

void Rig::runUntil(double seconds) { runFor(seconds - elapsed()); }

/// PROTOCOL, "Gangs": all tasks start together, are done together, and exit when one is missing.
void Rig::stepGangs(Time now) {
    std::map<std::pair<std::string, std::uint64_t>, std::vector<std::pair<Worker*, Worker::Key>>> gangs;
    for (const auto& [id, machine] : cloud->machines) {
        if (!machine.worker) continue;
        for (const auto& [key, task] : machine.worker->tasks)
            if (task.bearing != Worker::Bearing::exited && job(key.job).spec.kind == JobKind::gang)
                gangs[{key.job, key.launch}].emplace_back(machine.worker.get(), key);
    }
    for (const auto& [name, members] : gangs) {
        auto& gang = job(name.first);
        const auto stateOf = [](const auto& member) -> Worker::Task& {
            return member.first->tasks.at(member.second);
        };
        const auto count = [&](Worker::Bearing bearing) {
            return static_cast<std::size_t>(std::count_if(
                members.begin(), members.end(), [&](const auto& m) { return stateOf(m).bearing == bearing; }));
        };
        if (startedGangs_.contains(name)) {
            if (members.size() < gang.spec.tasks) {
                for (const auto& m : members) m.first->exit(m.second, "peers", now);
            } else if (count(Worker::Bearing::running) == gang.spec.tasks &&
                       now - stateOf(members.front()).since >= ticks(gang.runS)) {
                for (std::uint32_t task = 0; task < gang.spec.tasks; ++task) gang.done.insert(task);
                for (const auto& m : members) m.first->exit(m.second, "done", now);
            }
        } else if (count(Worker::Bearing::waiting) == gang.spec.tasks) {
            startedGangs_.insert(name);
            for (const auto& m : members) m.first->setBearing(m.second, Worker::Bearing::running, now);
        } else {
            for (const auto& m : members)
                if (stateOf(m).bearing == Worker::Bearing::waiting &&
                    now - stateOf(m).since > ticks(site.gangWaitS))
                    m.first->exit(m.second, "alone", now);
        }
    }
}

Job& Rig::add(const JobSpec& spec, double runS, double imageS) {
    auto& added = jobs[spec.id];
    added.spec = spec;
    added.runS = runS;
    added.image_s = imageS;
    return added;
}

void Rig::submit(const std::string& id, std::size_t node) {
    auto& submitted = job(id);
    submitted.submitted = true;
    MessagePacker p;
    burlpoint::protocol::packSpec(p, submitted.spec);
    http.request(nodeAddresses[node], "POST", "/submissions", p.str(), 5s,
                 [this, id, node](const HttpResult& result) {
                     auto& answered = job(id);
                     note("submission of " + id + " at " + nodeName(node) + ": " +
                          std::to_string(result.status));
                     if (result.status == 200 || result.status == 201) {
                         answered.accepted = true;
                         answered.acceptedAt = Clock::now();
                         return;
                     }
                     if (result.status == 400 || result.status == 422) return;
                     auto timer = std::make_shared<burlpoint::transport::Timer>(io);
                     timer->expires_after(1s);
                     timer->async_wait([this, timer, id, node](auto) { submit(id, (node + 1) % site.nodes); });
                 });
}

void Rig::cancel(const std::string& id, std::size_t node) {
    note("cancellation of " + id + " sent to " + nodeName(node));
    http.request(nodeAddresses[node], "POST", "/submissions/" + id + "/cancel", "", 5s,
                 [this, id, node](const HttpResult& result) {
                     auto& answered = job(id);
                     std::string bearing;
                     if (result.status == 200) {
                         const auto handle = burlpoint::protocol::unpackBody(result.body);
                         bearing = MapReader(handle.get()).text("bearing");
                     }
                     note("cancellation of " + id + " at " + nodeName(node) + ": " +
                          std::to_string(result.status) + " " + bearing);
                     if (bearing == "cancelled") {
                         answered.cancelled = true;
                         answered.cancelledAt = Clock::now();
                     }
                     if (result.status == 200) return;
                     auto timer = std::make_shared<burlpoint::transport::Timer>(io);
                     timer->expires_after(1s);
                     timer->async_wait([this, timer, id, node](auto) { cancel(id, node); });
                 });
}

/// Each job is polled every 5 s until it is over, at one node after the other.
void Rig::poll(Time now) {
    for (auto& [id, polled] : jobs) {
        if (!polled.accepted || polled.bearing == "done" || polled.bearing == "cancelled") continue;
        auto& next = nextPoll_.try_emplace(id, now + 1s).first->second;
        if (now < next) continue;
        next = now + 5s;
        const auto node = pollNode_++ % site.nodes;
        http.request(nodeAddresses[node], "GET", "/submissions/" + id, "", 2s,
                     [this, id, node](const HttpResult& result) {
                         if (result.status != 200)
                             return note("poll of " + id + " at " + nodeName(node) + ": " +
                                         std::to_string(result.status));
                         const auto handle = burlpoint::protocol::unpackBody(result.body);
                         const MapReader fields(handle.get());
                         auto& answered = job(id);
                         answered.bearing = fields.text("bearing");
                         note("poll of " + id + " at " + nodeName(node) + ": 200 " + answered.bearing +
                              ", done " + std::to_string(fields.integerOr("done", 0)) + ", running " +
                              std::to_string(fields.integerOr("running", 0)));
                     });
    }
}

std::optional<std::size_t> Rig::leader() const {
    const auto& values = store.front()->store.values;
    const auto found = values.find(burlpoint::storage::keys::kLeader);
    if (found == values.end()) return std::nullopt;
    const auto handle = burlpoint::protocol::unpackBody(found->second.data);
    const auto name = MapReader(handle.get()).text("node");
    for (std::size_t node = 0; node < site.nodes; ++node)
        if (nodeName(node) == name) return node;
    return std::nullopt;
}

std::size_t Rig::running(const std::string& id) const {
    std::size_t count = 0;
    for (const auto& [name, machine] : cloud->machines)
        if (machine.worker)
            for (const auto& [key, task] : machine.worker->tasks)
                count += key.job == id && task.bearing == Worker::Bearing::running;
    return count;
}

std::size_t Rig::onMachines(const std::string& id) const {
    std::size_t count = 0;
    for (const auto& [name, machine] : cloud->machines)
        if (machine.worker)
            for (const auto& [key, task] : machine.worker->tasks)
                count += key.job == id && task.bearing != Worker::Bearing::exited;
    return count;
}

JobSpec makeJob(const std::string& id, const std::string& jobClass, const std::string& team) {
    JobSpec spec;
    spec.id = id;
    spec.jobClass = jobClass;
    spec.team = team;
    spec.image = "img-" + jobClass;
    return spec;
}

Arguments readArguments(int argc, char** argv) {
    Arguments arguments;
    if (argc != 3) throw std::runtime_error("usage: CASE BURLPOINTD RECORD");
    arguments.binary = argv[1];
    arguments.record = argv[2];
    const char* trouble = std::getenv("TROUBLE");
    arguments.trouble = !trouble || std::string(trouble) != "0";
    return arguments;
}

}  // namespace review
