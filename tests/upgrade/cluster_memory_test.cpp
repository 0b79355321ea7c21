// Tests of the memory that real controllers take.
#include <gtest/gtest.h>

#include "upgrade/upgrade_fixture.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::JobKind;
using protocol::TaskState;

namespace {

/// The least memory that a controller is given by any deployment. The platform kills a process that holds
/// more.
constexpr std::size_t kSmallestProcessLimit = std::size_t{46} << 20;
constexpr double kMachineCpus = 16;  // of the machines of the cloud stub, which has eight
constexpr int kArrays = 3;
constexpr auto kObservedTime = std::chrono::seconds(5);  // several plans of the new leader

void expectMemoryWithinLimit(const Cluster& cluster) {
    for (std::size_t i = 0; i < Cluster::kControllers; ++i)
        EXPECT_LE(cluster.peakMemoryBytes(i), kSmallestProcessLimit) << "controller " << i;
}

}  // namespace

// Guards against controllers that the platform kills for their memory, again and again: a leader that took
// over planned a machine for each waiting task at once, as the cloud had not refused it any machine yet.
TEST(ClusterMemory, LeaderEndsWhileLargeArraysWaitThenNoControllerExceedsSmallestLimit) {
    Cluster cluster;
    const auto waitUntilRunning = [&](const std::string& id, std::uint32_t tasks) {
        cluster.waitUntil(id + " runs",
                          [&] { return cluster.machines.countTasks(id, TaskState::running) == tasks; });
    };
    const auto submit = [&](const protocol::JobSpec& spec) {
        cluster.users.submit(spec, 0);
        cluster.waitUntil(spec.id + " is accepted", [&] { return cluster.oracle.job(spec.id).accepted; });
    };
    cluster.startAll(kNewVersion);
    cluster.waitUntil("a controller leads", [&] { return cluster.storeCheck.leaderTerms() > 0; });
    submit(makeJob("wk-1", JobKind::service, 2));
    waitUntilRunning("wk-1", 2);
    auto array = makeJob("", JobKind::array, kAllTasks);
    array.cpus = kMachineCpus;
    array.estimatedRunTime = Seconds(60);  // so long that all tasks should run at the same time
    for (int i = 0; i < kArrays; ++i) {
        array.id = std::string("wk-10").append(std::to_string(i));
        submit(array);
    }
    const auto firstLeader = cluster.waitForLeader();
    cluster.kill(firstLeader);
    cluster.start(firstLeader, kNewVersion);
    cluster.waitForLeader();
    const auto end = Clock::now() + kObservedTime;
    cluster.waitUntil("the new leader has planned", [&] { return Clock::now() >= end; });
    expectMemoryWithinLimit(cluster);
    submit(makeJob("wk-2", JobKind::service, 1));  // the cluster still serves
    waitUntilRunning("wk-2", 1);
    EXPECT_EQ(cluster.machines.countTasks("wk-1", TaskState::running), 2u);
    expectMemoryWithinLimit(cluster);
}
