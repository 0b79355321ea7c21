// The peak memory of single owners, for the largest jobs that users may submit. The figures are recorded with
// the test results; the capacity page quotes them.
#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controller/leader_harness.h"
#include "coordination/api/submission_queue.h"
#include "coordination/autoscaling/autoscaler.h"
#include "memory/heap_meter.h"

namespace burlpoint::tests {

namespace {

/// The least memory that a controller is given by any deployment.
constexpr std::size_t kSmallestProcessLimit = std::size_t{46} << 20;
constexpr int kJobs = 100;
constexpr int kMachines = 300;
constexpr double kMachineCpus = 8;  // of the machine type "plain"

/// The peak of the heap during the call, which must stay within the limit of the whole process.
void expectPeakWithinLimit(const std::string& owner, const std::function<void()>& call) {
    HeapMeter heap;
    call();
    std::cout << "    " << owner << ": " << heap.peakBytes() << " bytes\n";
    EXPECT_LT(heap.peakBytes(), kSmallestProcessLimit) << owner;
}

std::string jobId(int number) { return std::string("wk-").append(std::to_string(number)); }

/// Jobs of the largest size, each of whose tasks takes a whole machine, in a replica without a leader.
struct LargeJobs : LeaderHarness {
    explicit LargeJobs(JobKind kind = JobKind::array) {
        settings.cloudRequestsPerSecond = 8;
        auto spec = makeJob("", protocol::kMaxTasks, kMachineCpus, kind);
        for (int i = 0; i < kJobs; ++i) {
            spec.id = jobId(i);
            submitJob(spec);
        }
    }
    std::vector<bookkeeping::Job*> beginRuns() {
        std::vector<bookkeeping::Job*> jobs;
        for (int i = 0; i < kJobs; ++i) {
            jobs.push_back(replica.find(jobId(i)));
            jobs.back()->beginRun(bookkeeping::JobOrigin::inherited, now);
        }
        return jobs;
    }
};

}  // namespace

TEST(OwnersMemory, ReplicaOfLargeJobsStaysWithinSmallestProcessLimit) {
    std::unique_ptr<LargeJobs> jobs;
    expectPeakWithinLimit("replica", [&] { jobs = std::make_unique<LargeJobs>(); });
}

TEST(OwnersMemory, RunsOfLargeJobsStayWithinSmallestProcessLimit) {
    LargeJobs jobs;
    expectPeakWithinLimit("runs", [&] { jobs.beginRuns(); });
}

TEST(OwnersMemory, PlanAndRequestsForLargeJobsStayWithinSmallestProcessLimit) {
    LargeJobs jobs;
    const auto order = jobs.beginRuns();
    bookkeeping::Fleet fleet;
    bookkeeping::MachineTypes types;
    for (const auto& type : jobs.replica.types) types[type.name] = type;
    Autoscaler autoscaler(jobs.settings, jobs.policy, jobs.replica, 5, jobs.now);
    const auto due = [](const auto&) { return Time{}; };
    expectPeakWithinLimit("plan and requests", [&] {
        autoscaler.decide(fleet, types, {order, due}, jobs.now);
    });
}

// Gangs that are far larger than the fleet are looked at by the gang planner and by preemption every time.
TEST(OwnersMemory, SchedulingOfGangsLargerThanTheFleetStaysWithinSmallestProcessLimit) {
    LargeJobs jobs(JobKind::gang);
    for (int i = 0; i < kMachines; ++i) jobs.registerMachine(std::string("m").append(std::to_string(i)));
    expectPeakWithinLimit("leader with large gangs", [&] {
        jobs.startLeader();
        for (int i = 0; i < kMachines; ++i) jobs.heartbeat(std::string("m").append(std::to_string(i)));
        for (int i = 0; i < 20; ++i) jobs.tick();
    });
}

TEST(OwnersMemory, FullSubmissionQueueStaysWithinSmallestProcessLimit) {
    protocol::Settings settings;
    settings.storeWritesPerSecond = 1000;
    const Time now{std::chrono::seconds(1000)};
    SubmissionQueue queue(settings, now);
    auto spec = makeJob("wk-1", protocol::kMaxTasks, kMachineCpus);
    expectPeakWithinLimit("submissions that wait", [&] {
        while (!queue.retryAfterIfFull(now)) {
            Submission submission;
            submission.spec = spec;
            submission.queuedAt = now;
            queue.add(std::move(submission));
        }
    });
}

}  // namespace burlpoint::tests
