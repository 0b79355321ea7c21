// A leader of some 4,000 machines, from their boot over a change of leader and an outage to their release,
// beside one of a tenth of that. What is counted, not timed, are the machines looked at on behalf of waiting
// jobs.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "leader_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;

namespace {

constexpr int kLargeFleet = 4000;
constexpr int kSmallFleet = 400;
constexpr auto kHeartbeatInterval = 2s;

/// A fleet whose machines report in turn, each once in an interval, and run what they are told to start.
class FleetDay {
  public:
    explicit FleetDay(int machines) {
        for (int i = 0; i < machines; ++i) names_.push_back("m" + std::to_string(i));
        harness_.settings.zones = {"z", "y"};
    }

    LeaderHarness& harness() { return harness_; }
    const std::vector<std::string>& names() const { return names_; }
    std::size_t running() const {
        std::size_t count = 0;
        for (const auto& [machine, tasks] : tasks_) count += tasks.size();
        return count;
    }

    /// The cloud lists the machines, their workers report for the first time, and their entries are stored.
    void boot() {
        harness_.lead();
        for (std::size_t i = 0; i < names_.size(); ++i) {
            const protocol::Heartbeat heartbeat{
                names_[i], names_[i], "plain", zoneOf(i), false, 1, ++harness_.sequences[names_[i]],
                0,         {},        {}};
            take(names_[i], harness_.tell(HeartbeatReceived{1, heartbeat}));
        }
        storeRegistry();
    }
    /// All machines report once, and time passes by an interval. `cancellationsCurrent`: the key-value store
    /// answers.
    void heartbeatAll(bool cancellationsCurrent = true) {
        const auto step = std::chrono::duration_cast<Clock::duration>(kHeartbeatInterval) / names_.size();
        for (std::size_t i = 0; i < names_.size(); ++i) {
            harness_.now += step;
            if (i % (names_.size() / 20) == 0) answer(harness_.tell(Tick{}));
            if (!released_.contains(names_[i])) heartbeatOne(i, cancellationsCurrent);
        }
    }
    /// The leader ends, and another one takes over with what is stored.
    void changeLeader() {
        harness_.leader.reset();
        harness_.replica.fencingToken = ++fencingToken_;
        harness_.leader = std::make_unique<Leader>(harness_.settings, harness_.policy, harness_.replica,
                                                   fencingToken_, harness_.now, 0);
    }
    void submit(const std::string& id, std::uint32_t tasks, const std::string& image) {
        auto spec = make(id, tasks, 1);
        spec.image = image;
        harness_.job(spec);
    }
    double lookupsPerHeartbeat() const {
        return static_cast<double>(harness_.leader->machinesScanned() - lookupsBefore_) /
               static_cast<double>(heartbeats_);
    }
    void countFromHere() {
        lookupsBefore_ = harness_.leader->machinesScanned();
        heartbeats_ = 0;
    }
    std::size_t refusedHeartbeats() const { return refused_; }
    std::size_t released() const { return released_.size(); }

  private:
    static std::string zoneOf(std::size_t machine) { return machine % 2 ? "y" : "z"; }

    void heartbeatOne(std::size_t i, bool cancellationsCurrent) {
        ++heartbeats_;
        const auto& name = names_[i];
        protocol::Heartbeat heartbeat{
            name,          name, "plain",     zoneOf(i), false, 1, ++harness_.sequences[name],
            tokens_[name], {},   tasks_[name]};
        HeartbeatReceived arrived{1, std::move(heartbeat), cancellationsCurrent};
        take(name, harness_.tell(std::move(arrived)));
    }
    void take(const std::string& name, const std::vector<Action>& actions) {
        answer(actions);
        for (const auto& action : actions)
            if (const auto* reply = std::get_if<AnswerHeartbeat>(&action)) obey(name, *reply);
    }
    void obey(const std::string& name, const AnswerHeartbeat& reply) {
        if (reply.verdict == HeartbeatVerdict::refused) {
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
    /// What is to be written is stored at once, and what is to be released is gone at once.
    void answer(const std::vector<Action>& actions) {
        for (const auto& action : actions) {
            if (std::holds_alternative<WriteState>(action)) {
                storage::TransactionResult result;
                result.status = storage::TransactionStatus::applied;
                result.revision = ++harness_.revision;
                answer(harness_.tell(StateWritten{result}));
            } else if (const auto* release = std::get_if<ScaleIn>(&action)) {
                released_.insert(release->machines.begin(), release->machines.end());
                answer(harness_.tell(ScaleInCompleted{release->machines, ScaleInOutcome::accepted}));
            } else if (std::holds_alternative<ListMachines>(action)) {
                answer(harness_.tell(MachinesListed{}));
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
    std::uint64_t lookupsBefore_ = 0;
    std::uint64_t heartbeats_ = 0;
    std::size_t refused_ = 0;
    std::set<std::string> released_;
};

/// Plays the whole life of a fleet. Returns the machines looked at for a heartbeat while jobs wait.
double playFleet(int machines) {
    FleetDay day(machines);
    day.harness().settings.storeWritesPerSecond = 100;
    day.harness().settings.cloudRequestsPerSecond = 3;
    day.harness().policy.idleKeep = Seconds(3600);  // until the entries of all are stored
    day.boot();
    EXPECT_EQ(day.harness().replica.registeredMachines.size(), static_cast<std::size_t>(machines));

    // More than the machines have room for, with ten images.
    const auto tasks = static_cast<std::uint32_t>(machines);
    for (int i = 0; i < 10; ++i) day.submit("wk-" + std::to_string(i), tasks, "image-" + std::to_string(i));
    const auto full = static_cast<std::size_t>(machines) * 8;  // all processors are in use
    for (int round = 0; round < 30 && day.running() < full; ++round) day.heartbeatAll();
    EXPECT_EQ(day.running(), full);
    day.countFromHere();
    for (int round = 0; round < 3; ++round) day.heartbeatAll();
    const auto lookups = day.lookupsPerHeartbeat();

    // The next leader answers everybody and loses nothing of what runs.
    day.changeLeader();
    for (int round = 0; round < 3; ++round) day.heartbeatAll();
    EXPECT_EQ(day.running(), full);
    EXPECT_EQ(day.refusedHeartbeats(), 0u);

    // While the key-value store is out nothing starts, and everything runs on.
    for (int round = 0; round < 3; ++round) day.heartbeatAll(false);
    EXPECT_EQ(day.running(), full);

    return lookups;
}

}  // namespace

TEST(LargeFleet, FourThousandMachinesCostNoMoreForAHeartbeatThanFourHundred) {
    const auto few = playFleet(kSmallFleet);
    const auto many = playFleet(kLargeFleet);
    EXPECT_LT(many, few * 1.5 + 20);
}

TEST(LargeFleet, FourThousandIdleMachinesAreAllReleased) {
    FleetDay day(kLargeFleet);
    day.harness().settings.storeWritesPerSecond = 100;
    day.harness().settings.cloudRequestsPerSecond = 3;
    day.boot();
    for (int round = 0; round < 100 && day.released() < day.names().size(); ++round) day.heartbeatAll();
    EXPECT_EQ(day.released(), static_cast<std::size_t>(kLargeFleet));
}
