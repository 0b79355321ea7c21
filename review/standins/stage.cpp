#include "stage.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <sstream>

#include "protocol/msgpack_codec.h"
#include "transport/endpoint.h"

namespace review {

using namespace std::chrono_literals;
using namespace burlpoint;
using namespace burlpoint::tests;

struct Proxy::Link {
    explicit Link(asio::io_context& io) : sockets{asio::ip::tcp::socket(io), asio::ip::tcp::socket(io)}, timer(io) {}
    std::array<asio::ip::tcp::socket, 2> sockets;  // client, server
    std::array<std::array<char, 16384>, 2> buffers;
    std::array<std::size_t, 2> held{};  // bytes read and not forwarded, by side
    std::array<bool, 2> closed{};       // this side has ended
    asio::steady_timer timer;
    bool connected = false, late = false, dead = false;
    void close() {
        if (dead) return;
        dead = true;
        asio::error_code ignored;
        timer.cancel();
        for (auto& socket : sockets) socket.close(ignored);
    }
};

Proxy::Proxy(asio::io_context& io, std::string target)
    : io_(io), target_(std::move(target)), acceptor_(io, transport::parseEndpoint("127.0.0.1:0")) {
    accept();
}

std::string Proxy::address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void Proxy::accept() {
    auto link = std::make_shared<Link>(io_);
    acceptor_.async_accept(link->sockets[0], [this, link](auto error) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
            std::erase_if(links_, [](const auto& weak) { return weak.expired(); });
            links_.push_back(link);
            if (cut_ && !hold_)
                link->close();
            else if (!cut_)
                connect(link);
            else
                link->timer.expires_after(1h), link->timer.async_wait([link](auto) {});  // hangs
        }
        accept();
    });
}

void Proxy::connect(const std::shared_ptr<Link>& link) {
    link->sockets[1].async_connect(transport::parseEndpoint(target_), [this, link](auto error) {
        if (error) return link->close();
        asio::error_code ignored;
        for (auto& socket : link->sockets) socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        link->connected = true;
        pump(link, 0);
        pump(link, 1);
    });
}

void Proxy::pump(const std::shared_ptr<Link>& link, int from) {
    if (link->dead) return;
    link->sockets[from].async_read_some(asio::buffer(link->buffers[from]), [this, link, from](auto error, auto bytes) {
        if (link->dead) return;
        if (error) {
            link->closed[from] = true;
            if (!cut_ && !link->late) link->close();  // otherwise the held bytes are delivered first
            return;
        }
        const auto forward = [this, link, from] {
            const auto count = std::exchange(link->held[from], 0);
            asio::async_write(link->sockets[1 - from], asio::buffer(link->buffers[from].data(), count),
                              [this, link, from](auto failed, auto) {
                                  if (failed) return link->close();
                                  pump(link, from);
                              });
        };
        link->held[from] = bytes;
        packets_ += from == 0;
        if (cut_ || link->late) return;  // heal() or the timer goes on
        const std::string_view text(link->buffers[from].data(), bytes);
        if (from == 0 && lateShare > 0 && text.starts_with("POST /multi") &&
            std::bernoulli_distribution(lateShare)(random_)) {
            link->late = true;
            link->timer.expires_after(std::chrono::milliseconds(std::uniform_int_distribution<>(2000, 12000)(random_)));
            link->timer.async_wait([link, forward](auto stopped) {
                if (stopped || link->dead) return;
                forward();
                link->timer.expires_after(200ms);
                link->timer.async_wait([link](auto) { link->close(); });
            });
            pump(link, 0);  // notices that the client closes
            return;
        }
        if (from == 0 && copyShare > 0 && text.starts_with("POST /checkin") &&
            std::bernoulli_distribution(copyShare)(random_))
            sendCopy(std::string(text));
        forward();
    });
}

void Proxy::sendCopy(std::string bytes) {
    struct Copy {
        explicit Copy(asio::io_context& io) : timer(io), socket(io) {}
        asio::steady_timer timer;
        asio::ip::tcp::socket socket;
        std::string bytes;
    };
    auto copy = std::make_shared<Copy>(io_);
    copy->bytes = std::move(bytes);
    const auto target = copyTargets.empty() ? target_ : copyTargets[random_() % copyTargets.size()];
    copy->timer.expires_after(std::chrono::milliseconds(std::uniform_int_distribution<>(2000, 15000)(random_)));
    copy->timer.async_wait([copy, target](auto) {
        copy->socket.async_connect(transport::parseEndpoint(target), [copy](auto error) {
            if (error) return;
            asio::async_write(copy->socket, asio::buffer(copy->bytes), [copy](auto, auto) {
                copy->timer.expires_after(3s);
                copy->timer.async_wait([copy](auto) {});
            });
        });
    });
}

void Proxy::cut(bool hold) {
    cut_ = true;
    hold_ = hold;
    if (hold) return;
    for (const auto& weak : links_)
        if (const auto link = weak.lock()) link->close();
    links_.clear();
}

void Proxy::heal() {
    if (!std::exchange(cut_, false)) return;
    for (const auto& weak : std::exchange(links_, {})) {
        const auto link = weak.lock();
        if (!link || link->dead) continue;
        if (!link->connected) {  // an attempt that was given up does not complete afterwards
            link->close();
            continue;
        }
        links_.push_back(link);
        for (int from : {0, 1}) {
            const auto count = std::exchange(link->held[from], 0);
            if (!count) continue;
            asio::async_write(link->sockets[1 - from], asio::buffer(link->buffers[from].data(), count),
                              [this, link, from](auto failed, auto) {
                                  if (failed || link->closed[from]) return link->close();
                                  pump(link, from);
                              });
        }
        if (link->closed[0] || link->closed[1]) {
            link->timer.expires_after(300ms);
            link->timer.async_wait([link](auto) { link->close(); });
        }
    }
}

Process::Process(const std::vector<std::string>& command, const std::string& settingsFile, const std::string& log) {
    std::vector<char*> arguments;
    for (const auto& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(const_cast<char*>(settingsFile.c_str()));
    arguments.push_back(nullptr);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
        setsid();  // a stopped process whose group is left by its parent would get a SIGHUP
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        dup2(file, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    close(file);
    if (pid_ < 0) throw std::runtime_error("fork failed");
}

Process::~Process() {
    if (exited_) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

void Process::signal(int number) const {
    if (!exited_) ::kill(pid_, number);
}

bool Process::isRunning() {
    int status = 0;
    if (!exited_ && waitpid(pid_, &status, WNOHANG) == pid_) {
        exited_ = true;
        std::fprintf(stderr, "process ended: signal %d exit code %d\n", WIFSIGNALED(status) ? WTERMSIG(status) : 0,
                     WIFEXITED(status) ? WEXITSTATUS(status) : -1);
    }
    return !exited_;
}

double Process::peakMemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
    return 0;
}

namespace {
protocol::Settings workerSettings(const Limits& limits) {
    protocol::Settings settings;
    settings.heartbeatInterval = Seconds(limits.reportS);
    settings.workerLease = Seconds(limits.leaseS);
    settings.gangWaitTimeout = Seconds(limits.gangWaitS);
    settings.gangPeerTimeout = Seconds(limits.gangPeerS);
    settings.cancelTimeout = Seconds(limits.cancelS);
    return settings;
}
std::vector<std::unique_ptr<ReservedPort>> reserve() {
    std::vector<std::unique_ptr<ReservedPort>> ports;
    for (std::size_t i = 0; i < Stage::kControllers; ++i) ports.push_back(std::make_unique<ReservedPort>());
    return ports;
}
}  // namespace

Stage::Stage(std::vector<std::string> command, Limits limits)
    : settings(workerSettings(limits)),
      command_(std::move(command)),
      limits_(limits),
      ports_(reserve()),
      peerPorts_(reserve()),
      controllers_([this] {
          std::vector<ControllerEndpoint> all;
          for (std::size_t i = 0; i < kControllers; ++i) all.push_back({nameOf(i), ports_[i]->address()});
          return all;
      }()),
      storeEndpoints_([this] {
          std::vector<std::unique_ptr<StoreStub>> all;
          for (std::size_t i = 0; i < kControllers; ++i)
              all.push_back(std::make_unique<StoreStub>(io, all.empty() ? nullptr : all.front().get()));
          return all;
      }()),
      workerProxies_([this] {
          std::vector<std::unique_ptr<Proxy>> all;
          for (const auto& port : ports_) all.push_back(std::make_unique<Proxy>(io, port->address()));
          return all;
      }()),
      storeCheck(oracle, storeEndpoints_.front()->store),
      machines(io, oracle, settings, [this] {
          auto seenByWorkers = controllers_;
          for (std::size_t i = 0; i < kControllers; ++i) seenByWorkers[i].address = workerProxies_[i]->address();
          return seenByWorkers;
      }(), [this](const std::string& job) { return storeCheck.isDone(job); }),
      users(io, oracle, controllers_),
      cloud(io, machines),
      processes_(kControllers),
      frozen_(kControllers) {
    for (std::size_t i = 0; i < kControllers; ++i) {
        storeProxies_.push_back(std::make_unique<Proxy>(io, storeEndpoints_[i]->address()));
        peerProxies_.emplace_back();
        for (std::size_t to = 0; to < kControllers; ++to)
            peerProxies_.back().push_back(std::make_unique<Proxy>(io, peerPorts_[to]->address()));
    }
    for (std::size_t i = 0; i < kControllers; ++i) std::ofstream(path(i, ".toml")) << settingsText(i);
}

Stage::~Stage() {
    processes_.clear();
    while (storeEndpoints_.size() > 1) storeEndpoints_.pop_back();
}

std::string Stage::path(std::size_t controller, const char* end) const {
    return directory_.path() / (nameOf(controller) + end);
}

std::string Stage::settingsText(std::size_t controller) const {
    static const char* const kZones[] = {"a", "b"};
    std::ostringstream text;
    text << std::showpoint << "label = \"" << nameOf(controller) << "\"\narea = \"" << kZones[controller % 2]
         << "\"\nbind = \"" << ports_[controller]->address() << "\"\npeer_bind = \""
         << peerPorts_[controller]->address() << "\"\n";
    for (std::size_t other = 0; other < kControllers; ++other) {
        if (other == controller) continue;
        text << "[[known]]\nlabel = \"" << nameOf(other) << "\"\narea = \"" << kZones[other % 2]
             << "\"\npeer_addr = \"" << peerProxies_[controller][other]->address() << "\"\n";
    }
    text << "[services]\ncloud = \"" << cloud.address() << "\"\nstate = \"" << storeProxies_[controller]->address()
         << "\"\n[cluster]\nnodes = " << kControllers << "\nzones = [\"a\", \"b\"]\nclock_error_ms = 25.0\n";
    for (const auto& team : limits_.teams)
        text << "[[cluster.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.cpus << "\ncpus_max = " << team.cpusMax
             << "\ngpus = 0.0\ngpus_max = 0.0\n";
    text << "[cluster.workers]\nreport_s = " << limits_.reportS
         << "\nlease_s = " << limits_.leaseS << "\ngang_wait_s = " << limits_.gangWaitS
         << "\ngang_peer_s = " << limits_.gangPeerS << "\ncancel_s = " << limits_.cancelS
         << "\n[cluster.state]\nrps = " << limits_.rps << "\nwrite_rps = " << limits_.writeRps
         << "\nvalue_kb = " << limits_.valueKb << "\ntxn_ops = " << limits_.txnOps
         << "\n[cluster.cloud]\nrps = 8.0\nlist_lag_s = 1.0\n"
         << "[cluster.limits]\ncore_share = 1.0\nmem_mb = " << limits_.memoryMb
         << "\nmax_connections = 1000\n";
    return text.str();
}

void Stage::start(std::size_t controller) {
    kill(controller);
    frozen_[controller] = false;
    processes_[controller] = std::make_unique<Process>(command_, path(controller, ".toml"), path(controller, ".log"));
}

void Stage::startAll() {
    for (std::size_t i = 0; i < kControllers; ++i) start(i);
}

void Stage::freeze(std::size_t controller) {
    if (!processes_[controller]) return;
    processes_[controller]->signal(SIGSTOP);
    frozen_[controller] = true;
}

void Stage::resume(std::size_t controller) {
    if (processes_[controller]) processes_[controller]->signal(SIGCONT);
    frozen_[controller] = false;
}

std::optional<std::size_t> Stage::leader() const {
    const auto& values = storeEndpoints_.front()->store.values;
    const auto found = values.find(storage::keys::kLeader);
    if (found == values.end()) return std::nullopt;
    const auto record = storage::decodeLeader(protocol::unpackBody(found->second.data).get());
    for (std::size_t i = 0; i < kControllers; ++i)
        if (nameOf(i) == record.node) return i;
    return std::nullopt;
}

void Stage::cutPeers(std::size_t controller, bool hold) {
    for (std::size_t other = 0; other < kControllers; ++other) {
        peerProxies_[controller][other]->cut(hold);
        peerProxies_[other][controller]->cut(hold);
    }
}

void Stage::healPeers(std::size_t controller) {
    for (std::size_t other = 0; other < kControllers; ++other) {
        peerProxies_[controller][other]->heal();
        peerProxies_[other][controller]->heal();
    }
}

void Stage::setStoreOutage(bool outage) {
    for (const auto& endpoint : storeEndpoints_) endpoint->outage = outage;
    if (outage_ && !outage) {
        storeEndpoints_.front()->renewAllLeases(Clock::now());
        storeEndpoints_.front()->answerWatches();
    }
    outage_ = outage;
}

void Stage::step() {
    io.run_for(4ms);
    const auto now = Clock::now();
    if (!outage_) storeEndpoints_.front()->expireLeasesAndWatches(now);
    storeCheck.step();
    machines.step(now);
    if (fakeUsers) users.step(now);
    for (std::size_t i = 0; i < kControllers; ++i)
        oracle.require(!processes_[i] || processes_[i]->isRunning(), nameOf(i) + " has ended by itself");
}

void Stage::run(Seconds time) {
    const auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(time);
    while (Clock::now() < end) step();
}

std::string Stage::logs() const {
    std::ostringstream all;
    for (std::size_t i = 0; i < kControllers; ++i)
        all << "--- " << nameOf(i) << "\n" << std::ifstream(path(i, ".log")).rdbuf() << "\n";
    return all.str();
}

}  // namespace review
