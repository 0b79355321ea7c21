#include "coordination/scheduling/job_queue.h"

#include <gtest/gtest.h>

#include <memory>

#include "base/clock.h"
#include "base/wall_clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::StateReplica;
using coordination::JobQueue;
using protocol::Priority;

namespace {

/// Jobs of four tasks, one processor and ten seconds each, that arrive in the order in which they are made.
struct WorkerCommand : testing::Test {
    protocol::Policy policy;
    protocol::Team guaranteed{"guaranteed", 8, 0, 0, 0};
    protocol::Team free{"free", 0, 0, 0, 0};
    StateReplica replica;
    Fleet fleet;
    std::vector<std::unique_ptr<Job>> jobs;
    Time now{1000s};
    static constexpr std::uint64_t kDayMs = 5'000'000;
    WallClock clock{Time{1000s}, kDayMs};
    JobQueue jobQueue{policy};

    WorkerCommand() { policy.longestPassedOver = Seconds(120); }
    Job& job(const std::string& id, Priority priority = Priority::normal) {
        auto& job = *jobs.emplace_back(std::make_unique<Job>());
        job.spec.id = id;
        job.spec.team = free.name;
        job.spec.tasks = 4;
        job.spec.cpus = 1;
        job.spec.estimatedRunTime = Seconds(10);
        job.effectivePriority = priority;
        job.accepted = jobs.size();
        job.beginRun(bookkeeping::JobOrigin::accepted, now);
        job.run->readyAt = now;
        job.run->team = &free;
        jobQueue.add(job);
        return job;
    }
    Job& due(const std::string& id, Clock::duration in) {
        auto& made = job(id);
        made.spec.deadline = Seconds(100);
        made.dueAtMs = kDayMs + static_cast<std::uint64_t>(in / 1ms);
        return made;
    }
    Job& ofGuarantee(const std::string& id, double cpus) {
        auto& made = job(id);
        made.spec.team = guaranteed.name;
        made.spec.cpus = cpus;
        made.run->team = &guaranteed;
        return made;
    }
    /// The ids of the jobs that wait, in order.
    std::string walk() {
        now += 100ms;
        jobQueue.refresh(replica, fleet, clock, now);
        std::string out;
        for (const auto* each : jobQueue.waiting()) out += (out.empty() ? "" : " ") + each->spec.id;
        return out;
    }
};

}  // namespace

TEST_F(WorkerCommand, HigherPrioritiesFirstThenByArrival) {
    job("low", Priority::low);
    job("normal-1");
    job("production", Priority::production);
    job("high", Priority::high);
    job("normal-2");
    EXPECT_EQ(walk(), "production high normal-1 normal-2 low");
}

TEST_F(WorkerCommand, ArrivalIsWhatTheStoreSaysAndNotTheOrderOfAdding) {
    job("first").accepted = 9;
    job("second").accepted = 4;
    EXPECT_EQ(walk(), "second first");
}

TEST_F(WorkerCommand, WhatIsWithinItsTeamsGuaranteeGoesAfterProductionOnly) {
    job("high", Priority::high);
    job("production", Priority::production);
    ofGuarantee("first", 1);   // 4 of 8 processors
    ofGuarantee("second", 2);  // 12 of 8
    EXPECT_EQ(walk(), "production first high second");
}

// Of tasks that are done nothing is asked any more.
TEST_F(WorkerCommand, AGuaranteeCountsUnfinishedTasksOnly) {
    auto& first = ofGuarantee("first", 2);
    auto& second = ofGuarantee("second", 1);
    job("high", Priority::high);
    EXPECT_EQ(walk(), "first high second");
    first.doneCount = 2;
    jobQueue.markStale();
    EXPECT_EQ(walk(), "first second high");
    EXPECT_TRUE(second.run->guaranteed);
}

TEST_F(WorkerCommand, WithoutAGuaranteeOfAcceleratorsWorkThatNeedsThemHasNone) {
    auto& made = ofGuarantee("accelerated", 1);
    made.spec.gpus = 1;
    walk();
    EXPECT_FALSE(made.run->guaranteed);
}

TEST_F(WorkerCommand, LeastRemainingWorkFirstWhereTimeIsDue) {
    job("none");
    due("long", 90s).spec.cpus = 2;
    due("short", 100s);
    EXPECT_EQ(walk(), "short long none");
}

TEST_F(WorkerCommand, WhatIsPastSavingGoesLast) {
    due("late", 7s);  // less than 0.8 of a task's ten seconds
    due("saved", 9s);
    job("none");
    EXPECT_EQ(walk(), "saved none late");
}

TEST_F(WorkerCommand, AHandedDownDeadlineIsNeverPastSaving) {
    job("none");
    due("needed", 7s).spec.deadline.reset();
    EXPECT_EQ(walk(), "needed none");
}

TEST_F(WorkerCommand, WhatWasPassedOverForLongGoesFirstInItsRank) {
    due("due", 100s);
    auto& begun = job("begun");
    begun.run->launchedTasks = 1;
    begun.run->readyAt = now - 121s;
    job("high", Priority::high);
    EXPECT_EQ(walk(), "high begun due");
    EXPECT_TRUE(begun.run->overdue);
}

TEST_F(WorkerCommand, WhatWasPassedOverAndNeverBeganYieldsToProductionOnly) {
    job("production", Priority::production);
    ofGuarantee("guaranteed", 1);
    job("low", Priority::low).run->readyAt = now - 121s;
    EXPECT_EQ(walk(), "production low guaranteed");
}

TEST_F(WorkerCommand, JobsWithoutWaitingTasksAreOpenAndNotWalked) {
    auto& placed = job("placed");
    placed.run->waiting = 0;
    job("waits");
    EXPECT_EQ(walk(), "waits");
    EXPECT_EQ(jobQueue.open().size(), 2u);
}

TEST_F(WorkerCommand, TheLeastNeedIsThatOfTheWaitingJobs) {
    job("placed").run->waiting = 0;
    job("small").spec.cpus = 2;
    job("large").spec.cpus = 5;
    walk();
    EXPECT_EQ(jobQueue.minCpus(), 2);
}

TEST_F(WorkerCommand, AJobThatIsOverLeavesWithTheNextRefresh) {
    auto& first = job("first");
    job("second");
    EXPECT_EQ(walk(), "first second");
    jobQueue.remove(first);
    EXPECT_EQ(jobQueue.open().size(), 1u);
    EXPECT_EQ(jobQueue.waiting().size(), 2u);
    EXPECT_EQ(walk(), "second");
}

TEST_F(WorkerCommand, ItIsMadeAnewOnlyWhenStaleAndTenTimesASecondAtMost) {
    EXPECT_TRUE(jobQueue.refresh(replica, fleet, clock, now));
    EXPECT_FALSE(jobQueue.refresh(replica, fleet, clock, now + 1s));
    jobQueue.markStale();
    EXPECT_FALSE(jobQueue.refresh(replica, fleet, clock, now + 99ms));
    EXPECT_TRUE(jobQueue.refresh(replica, fleet, clock, now + 100ms));
}

// The fleet counts what machines have by priority, so it hears of each change.
TEST_F(WorkerCommand, AChangedUrgencyReachesTheFleet) {
    auto& made = job("made");
    walk();
    auto& machine = fleet.add("m", now);
    fleet.place(machine, made, 0, 1, bookkeeping::PlacementState::running, now);
    made.effectivePriority = Priority::high;
    jobQueue.markStale();
    walk();
    EXPECT_EQ(made.priority(), Priority::high);
    EXPECT_EQ(machine.stoppable[static_cast<std::size_t>(Priority::normal)].cpus, 0);
    EXPECT_EQ(machine.stoppable[static_cast<std::size_t>(Priority::high)].cpus, 1);
}
