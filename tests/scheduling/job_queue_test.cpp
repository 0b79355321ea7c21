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

/// Jobs have four tasks of one processor and ten seconds each and arrive in the order in which they are
/// created.
struct JobQueueTest : testing::Test {
    protocol::Policy policy;
    protocol::Team guaranteed{"guaranteed", 8, 0, 0, 0};
    protocol::Team noQuota{"free", 0, 0, 0, 0};
    StateReplica replica;
    Fleet fleet;
    std::vector<std::unique_ptr<Job>> jobs;
    Time now{1000s};
    static constexpr std::uint64_t kStartMs = 5'000'000;
    WallClock clock{Time{1000s}, kStartMs};
    JobQueue jobQueue{policy};

    JobQueueTest() { policy.starvationThreshold = Seconds(120); }
    Job& job(const std::string& id, Priority priority = Priority::normal) {
        auto& job = *jobs.emplace_back(std::make_unique<Job>());
        job.spec.id = id;
        job.spec.team = noQuota.name;
        job.spec.tasks = 4;
        job.spec.cpus = 1;
        job.spec.estimatedRunTime = Seconds(10);
        job.effectivePriority = priority;
        job.accepted = jobs.size();
        job.beginRun(bookkeeping::JobOrigin::accepted, now);
        job.run->readyAt = now;
        job.run->team = &noQuota;
        jobQueue.add(job);
        return job;
    }
    Job& jobWithDeadline(const std::string& id, Clock::duration dueIn) {
        auto& newJob = job(id);
        newJob.spec.deadline = Seconds(100);
        newJob.dueAtMs = kStartMs + static_cast<std::uint64_t>(dueIn / 1ms);
        return newJob;
    }
    Job& guaranteedJob(const std::string& id, double cpus) {
        auto& newJob = job(id);
        newJob.spec.team = guaranteed.name;
        newJob.spec.cpus = cpus;
        newJob.run->team = &guaranteed;
        return newJob;
    }
    /// The ids of the waiting jobs, in the order of the queue after a refresh.
    std::string order() {
        now += 100ms;
        jobQueue.refresh(replica, fleet, clock, now);
        std::string out;
        for (const auto* each : jobQueue.waiting()) out += (out.empty() ? "" : " ") + each->spec.id;
        return out;
    }
};

}  // namespace

TEST_F(JobQueueTest, JobsAreOrderedByPriorityThenByArrival) {
    job("low", Priority::low);
    job("normal-1");
    job("production", Priority::production);
    job("high", Priority::high);
    job("normal-2");
    EXPECT_EQ(order(), "production high normal-1 normal-2 low");
}

TEST_F(JobQueueTest, ArrivalIsTheStoredRevisionAndNotTheOrderOfAdding) {
    job("first").accepted = 9;
    job("second").accepted = 4;
    EXPECT_EQ(order(), "second first");
}

TEST_F(JobQueueTest, JobWithinGuaranteedQuotaComesAfterProductionOnly) {
    job("high", Priority::high);
    job("production", Priority::production);
    guaranteedJob("first", 1);   // the team demands 4 of 8 guaranteed processors
    guaranteedJob("second", 2);  // the team demands 12 of 8
    EXPECT_EQ(order(), "production first high second");
}

TEST_F(JobQueueTest, GuaranteedQuotaCountsUnfinishedTasksOnly) {
    auto& first = guaranteedJob("first", 2);
    auto& second = guaranteedJob("second", 1);
    job("high", Priority::high);
    EXPECT_EQ(order(), "first high second");
    first.doneCount = 2;
    jobQueue.markStale();
    EXPECT_EQ(order(), "first second high");
    EXPECT_TRUE(second.run->guaranteed);
}

TEST_F(JobQueueTest, JobWithAcceleratorsIsNotGuaranteedWithoutAcceleratorQuota) {
    auto& newJob = guaranteedJob("accelerated", 1);
    newJob.spec.gpus = 1;
    order();
    EXPECT_FALSE(newJob.run->guaranteed);
}

TEST_F(JobQueueTest, JobsWithDeadlinesAreOrderedByLeastRemainingWork) {
    job("none");
    jobWithDeadline("long", 90s).spec.cpus = 2;
    jobWithDeadline("short", 100s);
    EXPECT_EQ(order(), "short long none");
}

TEST_F(JobQueueTest, JobThatCannotMeetItsDeadlineComesLast) {
    jobWithDeadline("late", 7s);  // less than 0.8 of a task's ten seconds
    jobWithDeadline("saved", 9s);
    job("none");
    EXPECT_EQ(order(), "saved none late");
}

TEST_F(JobQueueTest, InheritedDeadlineNeverCountsAsMissed) {
    job("none");
    jobWithDeadline("needed", 7s).spec.deadline.reset();
    EXPECT_EQ(order(), "needed none");
}

TEST_F(JobQueueTest, OverdueJobThatBeganComesFirstInItsRank) {
    jobWithDeadline("due", 100s);
    auto& begun = job("begun");
    begun.run->launchedTasks = 1;
    begun.run->readyAt = now - 121s;
    job("high", Priority::high);
    EXPECT_EQ(order(), "high begun due");
    EXPECT_TRUE(begun.run->overdue);
}

TEST_F(JobQueueTest, OverdueJobThatNeverBeganComesAfterProductionOnly) {
    job("production", Priority::production);
    guaranteedJob("guaranteed", 1);
    job("low", Priority::low).run->readyAt = now - 121s;
    EXPECT_EQ(order(), "production low guaranteed");
}

TEST_F(JobQueueTest, JobWithoutWaitingTasksIsOpenButNotInTheOrder) {
    auto& placed = job("placed");
    placed.run->waiting = 0;
    job("waits");
    EXPECT_EQ(order(), "waits");
    EXPECT_EQ(jobQueue.openJobs().size(), 2u);
}

TEST_F(JobQueueTest, MinCpusIsTheSmallestNeedOfTheWaitingJobs) {
    job("placed").run->waiting = 0;
    job("small").spec.cpus = 2;
    job("large").spec.cpus = 5;
    order();
    EXPECT_EQ(jobQueue.minCpus(), 2);
}

TEST_F(JobQueueTest, RemovedJobLeavesTheOrderWithTheNextRefresh) {
    auto& first = job("first");
    job("second");
    EXPECT_EQ(order(), "first second");
    jobQueue.remove(first);
    EXPECT_EQ(jobQueue.openJobs().size(), 1u);
    EXPECT_EQ(jobQueue.waiting().size(), 2u);
    EXPECT_EQ(order(), "second");
}

TEST_F(JobQueueTest, RefreshSortsOnlyWhenStaleAndTenTimesASecondAtMost) {
    EXPECT_TRUE(jobQueue.refresh(replica, fleet, clock, now));
    EXPECT_FALSE(jobQueue.refresh(replica, fleet, clock, now + 1s));
    jobQueue.markStale();
    EXPECT_FALSE(jobQueue.refresh(replica, fleet, clock, now + 99ms));
    EXPECT_TRUE(jobQueue.refresh(replica, fleet, clock, now + 100ms));
}

// The fleet counts the tasks on each machine by priority, so it must be updated with each change of a
// priority.
TEST_F(JobQueueTest, ChangedPriorityReachesTheFleetCounts) {
    auto& newJob = job("made");
    order();
    auto& machine = fleet.add("m", now);
    fleet.place(machine, newJob, 0, 1, bookkeeping::PlacementState::running, now);
    newJob.effectivePriority = Priority::high;
    jobQueue.markStale();
    order();
    EXPECT_EQ(newJob.priority(), Priority::high);
    EXPECT_EQ(machine.use.preemptible[static_cast<std::size_t>(Priority::normal)].cpus, 0);
    EXPECT_EQ(machine.use.preemptible[static_cast<std::size_t>(Priority::high)].cpus, 1);
}
