// The memory that waiting work takes. It must follow from what can be started or requested next, and not from
// the number of tasks that users have asked for.
#include <gtest/gtest.h>

#include <iostream>
#include <string>

#include "base/clock.h"
#include "controller/leader_harness.h"
#include "memory/heap_meter.h"

namespace burlpoint::tests {

namespace {

/// The least memory that a controller is given by any deployment. Its whole process has to fit.
constexpr std::size_t kSmallestProcessLimit = std::size_t{46} << 20;
constexpr double kMachineCpus = 8;  // of the machine type "plain"

/// A leader whose cloud has no machines.
struct WaitingWork : LeaderHarness {
    WaitingWork() { settings.cloudRequestsPerSecond = 8; }

    void submitArrays(int count, std::uint32_t tasks) {
        auto spec = makeJob("", tasks, kMachineCpus);
        for (int i = 0; i < count; ++i) {
            spec.id = std::string("wk-").append(std::to_string(i));
            submitJob(spec);
        }
    }
    /// Lets time pass and the cloud refuse every instance request at once.
    void run(Seconds time) {
        for (const auto end = now + toClockDuration(time); now < end;)
            for (const auto& action : tick(100ms))
                if (const auto* request = std::get_if<ScaleOut>(&action)) refuse(request->request.name);
    }
    void refuse(const std::string& name) {
        ScaleOutCompleted refusal;
        refusal.name = name;
        refusal.outcome = InstanceRequestOutcome::rejected;
        deliver(std::move(refusal));
    }
};

/// Records the figure in the test's output, where reports read it.
void record(const std::string& name, std::size_t bytes) {
    testing::Test::RecordProperty(name, static_cast<int>(bytes));
    std::cout << "    " << name << ": " << bytes << " bytes\n";
}

/// Lets a leader take over with that many arrays of the largest size, of which no task can start.
void expectTakeOverWithinLimit(int arrays) {
    WaitingWork work;
    work.submitArrays(arrays, protocol::kMaxTasks);
    HeapMeter heap;
    work.startLeader();
    work.run(Seconds(10));
    record("peak", heap.peakBytes());
    record("after ten seconds", heap.currentBytes());
    EXPECT_LT(heap.peakBytes(), kSmallestProcessLimit);
}

}  // namespace

// Guards against a leader that is killed for its memory as it takes over: it knew of no refusal of the cloud
// yet, and planned a machine for each of 300,000 waiting tasks at once.
TEST(WaitingWorkMemory, LeaderThatTakesOverLargeArraysStaysWithinSmallestProcessLimit) {
    expectTakeOverWithinLimit(3);
}

// The same for many such jobs, whose machines can't all be requested at once either.
TEST(WaitingWorkMemory, LeaderThatTakesOverManyLargeArraysStaysWithinSmallestProcessLimit) {
    expectTakeOverWithinLimit(400);
}

// Guards against runs of jobs that are sized by the tasks asked for: each waiting array of the largest size
// took 100,000 bytes although none of its tasks could start.
TEST(WaitingWorkMemory, ThousandLargeArraysWaitThenLeaderStaysWithinSmallestProcessLimit) {
    expectTakeOverWithinLimit(1000);
}

// The same for a leader that has planned before: a request that is fulfilled in full lets it forget earlier
// refusals.
TEST(WaitingWorkMemory, OfferingIsFulfilledInFullThenPlanStaysWithinSmallestProcessLimit) {
    WaitingWork work;
    work.startLeader();
    work.submitArrays(1, 1);
    work.run(Seconds(5));
    HeapMeter heap;
    work.submitArrays(3, protocol::kMaxTasks);
    int machines = 0;
    for (int second = 0; second < 20; ++second)
        for (const auto& action : work.tick(1s)) {
            const auto* request = std::get_if<ScaleOut>(&action);
            if (!request) continue;
            ScaleOutCompleted fulfilment;
            fulfilment.name = request->request.name;
            fulfilment.outcome = InstanceRequestOutcome::fulfilled;
            for (std::uint32_t i = 0; i < request->request.count && machines < 1000; ++i)
                fulfilment.machines.push_back(std::string("m-").append(std::to_string(machines++)));
            work.deliver(std::move(fulfilment));
        }
    record("peak", heap.peakBytes());
    EXPECT_LT(heap.peakBytes(), kSmallestProcessLimit);
}

}  // namespace burlpoint::tests
