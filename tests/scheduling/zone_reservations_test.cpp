#include "coordination/scheduling/zone_reservations.h"

#include <gtest/gtest.h>

#include <memory>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using bookkeeping::Job;
using bookkeeping::Machine;
using coordination::ZoneReservations;
using protocol::JobKind;
using protocol::Priority;

namespace {

// A gang may reserve a zone after a third of starvationThreshold, which is 40 s here.
constexpr auto kLongWait = 41s;

/// Machines with accelerators in zones "a" and "b" and a plain machine in zone "a". Jobs have no task on any
/// machine.
struct ZoneReservationsTest : testing::Test {
    protocol::Policy policy;
    protocol::MachineType plainType{"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"a", "b"}};
    protocol::MachineType gpuType{"gpu", 16, 2, 64, 50, 1, 8, 3, Seconds(30), {"a", "b"}};
    std::vector<std::unique_ptr<Job>> jobs;
    Time now{1000s};
    Machine gpuA, gpuB, plainA;
    ZoneReservations zones{policy};

    ZoneReservationsTest() {
        policy.starvationThreshold = Seconds(120);
        setUp(gpuA, gpuType, "a");
        setUp(gpuB, gpuType, "b");
        setUp(plainA, plainType, "a");
    }
    static void setUp(Machine& machine, const protocol::MachineType& type, const std::string& zone) {
        machine.type = type.name;
        machine.typeInfo = &type;
        machine.zone = zone;
    }
    Job& job(JobKind kind, double gpus, Priority priority, Clock::duration age) {
        auto& job = *jobs.emplace_back(std::make_unique<Job>());
        job.spec.id = "job-" + std::to_string(jobs.size());
        job.spec.kind = kind;
        job.spec.tasks = 4;
        job.spec.cpus = 2;
        job.spec.gpus = gpus;
        job.beginRun(bookkeeping::JobOrigin::accepted, now - age);
        job.run->readyAt = now - age;
        job.run->waitingSince = now - age;
        job.run->priority = priority;
        return job;
    }
    Job& gang(Clock::duration age = kLongWait, double gpus = 1) {
        return job(JobKind::gang, gpus, Priority::normal, age);
    }
    Job& competingJob() { return job(JobKind::array, 1, Priority::normal, 0s); }
    bool excludes(const Job& job, const Machine& machine) { return zones.excludes(job, machine, now); }
};

}  // namespace

TEST_F(ZoneReservationsTest, WithoutAReservationNoJobIsExcluded) {
    EXPECT_FALSE(excludes(competingJob(), gpuA));
}

TEST_F(ZoneReservationsTest, ZoneIsReservedForAGangThatWaitedLong) {
    auto& large = gang();
    auto& other = competingJob();
    zones.reserve(large, "a", now);
    EXPECT_TRUE(excludes(other, gpuA));
    EXPECT_FALSE(excludes(other, gpuB));  // another zone stays available to it
    EXPECT_FALSE(excludes(large, gpuA));
}

TEST_F(ZoneReservationsTest, YoungGangGetsNoReservation) {
    zones.reserve(gang(40s), "a", now);
    EXPECT_FALSE(excludes(competingJob(), gpuA));
}

TEST_F(ZoneReservationsTest, ReservationOfAllZonesExcludesInEachZone) {
    zones.reserve(gang(), "", now);
    EXPECT_TRUE(excludes(competingJob(), gpuA));
    EXPECT_TRUE(excludes(competingJob(), gpuB));
}

TEST_F(ZoneReservationsTest, ProductionAndLowerPriorityJobsAreNotExcluded) {
    zones.reserve(gang(), "a", now);
    EXPECT_FALSE(excludes(job(JobKind::array, 1, Priority::production, 0s), gpuA));
    EXPECT_FALSE(excludes(job(JobKind::array, 1, Priority::low, 0s), gpuA));  // the gang may preempt it
    EXPECT_TRUE(excludes(job(JobKind::array, 1, Priority::high, 0s), gpuA));
}

TEST_F(ZoneReservationsTest, JobWithoutAcceleratorsIsNotExcludedForAGangWithThem) {
    zones.reserve(gang(), "a", now);
    EXPECT_FALSE(excludes(job(JobKind::array, 0, Priority::normal, 0s), gpuA));
    EXPECT_FALSE(excludes(competingJob(), plainA));  // the gang does not fit there
}

TEST_F(ZoneReservationsTest, GangWithoutAcceleratorsExcludesGangsOnly) {
    zones.reserve(gang(kLongWait, 0), "a", now);
    EXPECT_FALSE(excludes(job(JobKind::array, 0, Priority::normal, 0s), plainA));
    EXPECT_TRUE(excludes(gang(0s, 0), plainA));
}

TEST_F(ZoneReservationsTest, ReservationLapsesUnlessRenewed) {
    auto& large = gang();
    auto& other = competingJob();
    zones.reserve(large, "a", now);
    now += 9900ms;
    EXPECT_TRUE(excludes(other, gpuA));
    zones.reserve(large, "a", now);
    now += 9900ms;
    EXPECT_TRUE(excludes(other, gpuA));
    now += 100ms;
    EXPECT_FALSE(excludes(other, gpuA));
}

TEST_F(ZoneReservationsTest, GangKeepsItsFirstZone) {
    auto& large = gang();
    zones.reserve(large, "a", now);
    zones.reserve(large, "b", now);
    EXPECT_TRUE(excludes(competingJob(), gpuA));
    EXPECT_FALSE(excludes(competingJob(), gpuB));
}

TEST_F(ZoneReservationsTest, ReleasedZoneExcludesNoJob) {
    auto& large = gang();
    zones.reserve(large, "a", now);
    zones.release(gang());  // a gang without the reservation
    EXPECT_TRUE(excludes(competingJob(), gpuA));
    zones.release(large);
    EXPECT_FALSE(excludes(competingJob(), gpuA));
}

TEST_F(ZoneReservationsTest, OneZoneIsReservedAtATime) {
    auto& first = gang();
    auto& second = gang();
    zones.reserve(first, "a", now);
    zones.reserve(second, "b", now);
    EXPECT_FALSE(excludes(competingJob(), gpuB));
    EXPECT_TRUE(excludes(second, gpuA));
}

TEST_F(ZoneReservationsTest, OverdueGangMayHaveAFurtherZoneButNotATakenOne) {
    auto& first = gang(50s);
    auto& second = gang();
    second.run->overdue = true;
    zones.reserve(first, "a", now);
    zones.reserve(second, "a", now);
    EXPECT_TRUE(excludes(second, gpuA));
    zones.reserve(second, "b", now);
    EXPECT_TRUE(excludes(first, gpuB));
}

TEST_F(ZoneReservationsTest, OlderGangTakesTheReservationFromAYoungerOne) {
    auto& younger = gang(50s);
    auto& older = gang(60s);
    zones.reserve(younger, "a", now);
    zones.reserve(older, "a", now);
    EXPECT_FALSE(excludes(older, gpuA));
    EXPECT_TRUE(excludes(younger, gpuA));
    zones.reserve(younger, "a", now);
    EXPECT_FALSE(excludes(older, gpuA));
}

// 60 s in which the zone is exclusive to the gang alternate with 30 s in which jobs that have waited for 20 s
// may start, too.
TEST_F(ZoneReservationsTest, JobThatWaitedMayStartInTheOpenInterval) {
    auto& large = gang();
    auto& waited = competingJob();
    const auto advance = [&](int seconds) {
        for (int i = 0; i < seconds; ++i) {
            now += 1s;
            zones.reserve(large, "a", now);
        }
    };
    zones.reserve(large, "a", now);
    advance(59);
    EXPECT_TRUE(excludes(waited, gpuA));
    advance(1);
    EXPECT_FALSE(excludes(waited, gpuA));
    EXPECT_TRUE(excludes(competingJob(), gpuA));  // has not waited
    waited.run->placedTotal = 1;
    EXPECT_TRUE(excludes(waited, gpuA));  // has a task on a machine
    waited.run->placedTotal = 0;
    advance(29);
    EXPECT_FALSE(excludes(waited, gpuA));
    advance(1);
    EXPECT_TRUE(excludes(waited, gpuA));
}
