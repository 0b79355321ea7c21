// The life of a fleet of 4,000 machines under a leader (boot, failover, outage of the key-value store,
// deletion), compared with a fleet of 400. Cost is measured as the number of machines scanned for waiting
// jobs, not as time.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "controller/leader_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;

namespace {

constexpr int kLargeFleet = 4000;
constexpr int kSmallFleet = 400;
constexpr auto kHeartbeatInterval = 2s;

/// A simulated fleet whose machines send heartbeats in turn, each once per interval, and execute the commands
/// in the responses.
class SimulatedFleet {
  public:
    explicit SimulatedFleet(int machines) {
        for (int i = 0; i < machines; ++i) names_.push_back(std::string("m").append(std::to_string(i)));
        harness_.settings.zones = {"z", "y"};
    }

    LeaderHarness& harness() { return harness_; }
    const std::vector<std::string>& names() const { return names_; }
    std::size_t running() const {
        std::size_t count = 0;
        for (const auto& [machine, tasks] : tasks_) count += tasks.size();
        return count;
    }

    /// Sends the first heartbeat of all workers, and more until the registry entries of all machines are
    /// stored.
    void boot() {
        harness_.startLeader();
        for (std::size_t i = 0; i < names_.size(); ++i) {
            const protocol::Heartbeat heartbeat{
                names_[i], names_[i], "plain", zoneOf(i), false, 1, ++harness_.sequences[names_[i]],
                0,         {},        {}};
            handle(names_[i], harness_.deliver(HeartbeatReceived{1, heartbeat}));
        }
        storeRegistry();
    }
    /// Sends one heartbeat of every machine, evenly spread over one interval. `cancellationsCurrent` is false
    /// during an outage of the key-value store.
    void heartbeatAll(bool cancellationsCurrent = true) {
        const auto step = std::chrono::duration_cast<Clock::duration>(kHeartbeatInterval) / names_.size();
        for (std::size_t i = 0; i < names_.size(); ++i) {
            harness_.now += step;
            if (i % (names_.size() / 20) == 0) completeActions(harness_.deliver(Tick{}));
            if (!deleted_.contains(names_[i])) heartbeatOne(i, cancellationsCurrent);
        }
    }
    /// Replaces the leader by a new one that starts from the replica.
    void changeLeader() {
        harness_.leader.reset();
        harness_.replica.fencingToken = ++fencingToken_;
        harness_.leader = std::make_unique<Leader>(harness_.settings, harness_.policy, harness_.replica,
                                                   fencingToken_, harness_.now, 0);
    }
    void submit(const std::string& id, std::uint32_t tasks, const std::string& image) {
        auto spec = makeJob(id, tasks, 1);
        spec.image = image;
        harness_.submitJob(spec);
    }
    double scansPerHeartbeat() const {
        return static_cast<double>(harness_.leader->machinesScanned() - scansBefore_) /
               static_cast<double>(heartbeats_);
    }
    void resetScanCount() {
        scansBefore_ = harness_.leader->machinesScanned();
        heartbeats_ = 0;
    }
    std::size_t refusedHeartbeats() const { return refused_; }
    std::size_t deleted() const { return deleted_.size(); }

  private:
    static std::string zoneOf(std::size_t machine) { return machine % 2 ? "y" : "z"; }

    void heartbeatOne(std::size_t i, bool cancellationsCurrent) {
        ++heartbeats_;
        const auto& name = names_[i];
        protocol::Heartbeat heartbeat{
            name,          name, "plain",     zoneOf(i), false, 1, ++harness_.sequences[name],
            tokens_[name], {},   tasks_[name]};
        HeartbeatReceived arrived{1, std::move(heartbeat), cancellationsCurrent};
        handle(name, harness_.deliver(std::move(arrived)));
    }
    void handle(const std::string& name, const std::vector<Action>& actions) {
        completeActions(actions);
        for (const auto& action : actions)
            if (const auto* reply = std::get_if<AnswerHeartbeat>(&action)) execute(name, *reply);
    }
    void execute(const std::string& name, const AnswerHeartbeat& reply) {
        if (reply.verdict == coordination::HeartbeatVerdict::refused) {
            ++refused_;
            return;
        }
        tokens_[name] = fencingToken_;
        auto& tasks = tasks_[name];
        for (const auto& command : reply.commands) {
            if (command.kind == CommandKind::start)
                tasks.push_back({command.attempt, TaskState::running, protocol::ExitReason::none, false});
            else
                std::erase_if(tasks, [&](const auto& task) { return task.attempt == command.attempt; });
        }
    }
    /// Completes the actions for the key-value store and the cloud at once: writes are applied, and machines
    /// are deleted.
    void completeActions(const std::vector<Action>& actions) {
        for (const auto& action : actions) {
            if (std::holds_alternative<WriteState>(action)) {
                storage::TransactionResult result;
                result.status = storage::TransactionStatus::applied;
                result.revision = ++harness_.revision;
                completeActions(harness_.deliver(StateWritten{result}));
            } else if (const auto* scaleIn = std::get_if<ScaleIn>(&action)) {
                deleted_.insert(scaleIn->machines.begin(), scaleIn->machines.end());
                completeActions(harness_.deliver(
                    ScaleInCompleted{scaleIn->machines, coordination::ScaleInOutcome::deleted}));
            } else if (std::holds_alternative<ListMachines>(action)) {
                completeActions(harness_.deliver(MachinesListed{}));
            }
        }
    }
    void storeRegistry() {
        for (int i = 0; i < 1000 && harness_.replica.registeredMachines.size() < names_.size(); ++i)
            heartbeatAll();
    }

    LeaderHarness harness_;
    std::vector<std::string> names_;
    std::map<std::string, std::vector<TaskStatus>> tasks_;
    std::map<std::string, std::uint64_t> tokens_;
    std::uint64_t fencingToken_ = 5;
    std::uint64_t scansBefore_ = 0;
    std::uint64_t heartbeats_ = 0;
    std::size_t refused_ = 0;
    std::set<std::string> deleted_;
};

/// Simulates a fleet from boot over a failover to an outage. Returns the number of machines scanned per
/// heartbeat while jobs are waiting.
double simulateFleet(int machines) {
    SimulatedFleet simulated(machines);
    simulated.harness().settings.storeWritesPerSecond = 100;
    simulated.harness().settings.cloudRequestsPerSecond = 3;
    simulated.harness().policy.idleRetention = Seconds(3600);  // no scale-in before all entries are stored
    simulated.boot();
    EXPECT_EQ(simulated.harness().replica.registeredMachines.size(), static_cast<std::size_t>(machines));

    // More tasks than the fleet has capacity for, with ten images.
    const auto tasks = static_cast<std::uint32_t>(machines);
    for (int i = 0; i < 10; ++i)
        simulated.submit("wk-" + std::to_string(i), tasks, "image-" + std::to_string(i));
    const auto fullCapacity = static_cast<std::size_t>(machines) * 8;  // with all processors in use
    for (int round = 0; round < 30 && simulated.running() < fullCapacity; ++round) simulated.heartbeatAll();
    EXPECT_EQ(simulated.running(), fullCapacity);
    simulated.resetScanCount();
    for (int round = 0; round < 3; ++round) simulated.heartbeatAll();
    const auto scans = simulated.scansPerHeartbeat();

    // The next leader accepts the heartbeats of all workers, and all running tasks continue.
    simulated.changeLeader();
    for (int round = 0; round < 3; ++round) simulated.heartbeatAll();
    EXPECT_EQ(simulated.running(), fullCapacity);
    EXPECT_EQ(simulated.refusedHeartbeats(), 0u);

    // While the key-value store is unavailable, no task starts and all running tasks continue.
    for (int round = 0; round < 3; ++round) simulated.heartbeatAll(false);
    EXPECT_EQ(simulated.running(), fullCapacity);

    return scans;
}

}  // namespace

TEST(LargeFleet, TenfoldFleetThenHeartbeatCostDoesNotGrow) {
    const auto few = simulateFleet(kSmallFleet);
    const auto many = simulateFleet(kLargeFleet);
    EXPECT_LT(many, few * 1.5 + 20);
}

TEST(LargeFleet, FourThousandMachinesIdleThenAllAreDeleted) {
    SimulatedFleet simulated(kLargeFleet);
    simulated.harness().settings.storeWritesPerSecond = 100;
    simulated.harness().settings.cloudRequestsPerSecond = 3;
    simulated.boot();
    for (int round = 0; round < 100 && simulated.deleted() < simulated.names().size(); ++round)
        simulated.heartbeatAll();
    EXPECT_EQ(simulated.deleted(), static_cast<std::size_t>(kLargeFleet));
}
