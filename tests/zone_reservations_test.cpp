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

constexpr auto kLongWait = 41s;  // a gang may have a zone after a third of two minutes

/// Two zones of machines with and without accelerators. Jobs have waited without any task from their start.
struct Zones : testing::Test {
    protocol::Policy policy;
    protocol::MachineType plainType{"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"a", "b"}};
    protocol::MachineType gpuType{"gpu", 16, 2, 64, 50, 1, 8, 3, Seconds(30), {"a", "b"}};
    std::vector<std::unique_ptr<Job>> jobs;
    Time now{1000s};
    Machine gpuA, gpuB, plainA;
    ZoneReservations zones{policy};

    Zones() {
        policy.longestPassedOver = Seconds(120);
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
    Job& rival() { return job(JobKind::array, 1, Priority::normal, 0s); }
    bool keepsOut(const Job& job, const Machine& machine) { return zones.keepsOut(job, machine, now); }
};

}  // namespace

TEST_F(Zones, WithoutAReservationNobodyIsKeptOut) { EXPECT_FALSE(keepsOut(rival(), gpuA)); }

TEST_F(Zones, AZoneIsKeptForAGangThatWaitedLong) {
    auto& large = gang();
    auto& other = rival();
    zones.reserve(large, "a", now);
    EXPECT_TRUE(keepsOut(other, gpuA));
    EXPECT_FALSE(keepsOut(other, gpuB));  // it has another zone to go to
    EXPECT_FALSE(keepsOut(large, gpuA));
}

TEST_F(Zones, AYoungGangGetsNone) {
    zones.reserve(gang(40s), "a", now);
    EXPECT_FALSE(keepsOut(rival(), gpuA));
}

TEST_F(Zones, AGangThatMaySpreadHasAllZones) {
    zones.reserve(gang(), "", now);
    EXPECT_TRUE(keepsOut(rival(), gpuA));
    EXPECT_TRUE(keepsOut(rival(), gpuB));
}

TEST_F(Zones, ProductionAndLowerWorkGoOn) {
    zones.reserve(gang(), "a", now);
    EXPECT_FALSE(keepsOut(job(JobKind::array, 1, Priority::production, 0s), gpuA));
    EXPECT_FALSE(keepsOut(job(JobKind::array, 1, Priority::low, 0s), gpuA));  // it yields anyway
    EXPECT_TRUE(keepsOut(job(JobKind::array, 1, Priority::high, 0s), gpuA));
}

TEST_F(Zones, WorkWithoutAcceleratorsIsNotKeptOutForAGangWithThem) {
    zones.reserve(gang(), "a", now);
    EXPECT_FALSE(keepsOut(job(JobKind::array, 0, Priority::normal, 0s), gpuA));
    EXPECT_FALSE(keepsOut(rival(), plainA));  // the gang does not fit there
}

TEST_F(Zones, AGangWithoutAcceleratorsKeepsOutGangsOnly) {
    zones.reserve(gang(kLongWait, 0), "a", now);
    EXPECT_FALSE(keepsOut(job(JobKind::array, 0, Priority::normal, 0s), plainA));
    EXPECT_TRUE(keepsOut(gang(0s, 0), plainA));
}

TEST_F(Zones, AReservationLapsesUnlessRenewed) {
    auto& large = gang();
    auto& other = rival();
    zones.reserve(large, "a", now);
    now += 9900ms;
    EXPECT_TRUE(keepsOut(other, gpuA));
    zones.reserve(large, "a", now);
    now += 9900ms;
    EXPECT_TRUE(keepsOut(other, gpuA));
    now += 100ms;
    EXPECT_FALSE(keepsOut(other, gpuA));
}

TEST_F(Zones, AGangStaysInTheZoneWhereItBegan) {
    auto& large = gang();
    zones.reserve(large, "a", now);
    zones.reserve(large, "b", now);
    EXPECT_TRUE(keepsOut(rival(), gpuA));
    EXPECT_FALSE(keepsOut(rival(), gpuB));
}

TEST_F(Zones, AReleasedZoneIsFree) {
    auto& large = gang();
    zones.reserve(large, "a", now);
    zones.release(gang());  // another one
    EXPECT_TRUE(keepsOut(rival(), gpuA));
    zones.release(large);
    EXPECT_FALSE(keepsOut(rival(), gpuA));
}

TEST_F(Zones, OneZoneAtATime) {
    auto& first = gang();
    auto& second = gang();
    zones.reserve(first, "a", now);
    zones.reserve(second, "b", now);
    EXPECT_FALSE(keepsOut(rival(), gpuB));
    EXPECT_TRUE(keepsOut(second, gpuA));
}

TEST_F(Zones, AnOverdueGangMayHaveAFurtherZoneButNotAnotherOnes) {
    auto& first = gang(50s);
    auto& second = gang();
    second.run->overdue = true;
    zones.reserve(first, "a", now);
    zones.reserve(second, "a", now);
    EXPECT_TRUE(keepsOut(second, gpuA));
    zones.reserve(second, "b", now);
    EXPECT_TRUE(keepsOut(first, gpuB));
}

TEST_F(Zones, TheOldestGangTakesTheZoneOver) {
    auto& younger = gang(50s);
    auto& older = gang(60s);
    zones.reserve(younger, "a", now);
    zones.reserve(older, "a", now);
    EXPECT_FALSE(keepsOut(older, gpuA));
    EXPECT_TRUE(keepsOut(younger, gpuA));
    zones.reserve(younger, "a", now);
    EXPECT_FALSE(keepsOut(older, gpuA));
}

// A minute for the gang, then half a minute in which what has waited for 20 s starts there, and so on.
TEST_F(Zones, WhatHasWaitedHasItsTurn) {
    auto& large = gang();
    auto& waited = rival();
    const auto goOn = [&](int seconds) {
        for (int i = 0; i < seconds; ++i) {
            now += 1s;
            zones.reserve(large, "a", now);
        }
    };
    zones.reserve(large, "a", now);
    goOn(59);
    EXPECT_TRUE(keepsOut(waited, gpuA));
    goOn(1);
    EXPECT_FALSE(keepsOut(waited, gpuA));
    EXPECT_TRUE(keepsOut(rival(), gpuA));  // has not waited
    waited.run->placedTotal = 1;
    EXPECT_TRUE(keepsOut(waited, gpuA));  // runs already
    waited.run->placedTotal = 0;
    goOn(29);
    EXPECT_FALSE(keepsOut(waited, gpuA));
    goOn(1);
    EXPECT_TRUE(keepsOut(waited, gpuA));
}
