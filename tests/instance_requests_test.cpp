#include <gtest/gtest.h>

#include "base/clock.h"
#include "coordination/autoscaling/capacity_errors.h"
#include "coordination/autoscaling/instance_request_queue.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using bookkeeping::Offering;
using coordination::CapacityErrors;
using coordination::InstanceRequestQueue;
using protocol::InstanceRequest;

namespace {

const Offering kOrdinary{"m-small", "z1", false};
const Offering kSpot{"m-small", "z1", true};

/// The requests' names and counts, as "name*count".
std::vector<std::string> described(const std::vector<InstanceRequest>& requests) {
    std::vector<std::string> out;
    out.reserve(requests.size());
    for (const auto& request : requests) out.push_back(request.name + "*" + std::to_string(request.count));
    return out;
}

std::vector<std::string> pending(const InstanceRequestQueue& requests) {
    std::vector<InstanceRequest> all;
    requests.forEachPending([&](const InstanceRequest& request) { all.push_back(request); });
    return described(all);
}

using Names = std::vector<std::string>;

}  // namespace

TEST(CapacityErrors, TheirPauseDoublesUpToABound) {
    CapacityErrors capacityErrors;
    Time now{100s};
    for (const auto pause : {4s, 8s, 16s, 16s}) {
        capacityErrors.record(kOrdinary, now);
        EXPECT_TRUE(capacityErrors.isUnavailable(kOrdinary, now + pause - 1ms));
        EXPECT_FALSE(capacityErrors.isUnavailable(kOrdinary, now + pause));
        now += pause;
    }
}

TEST(CapacityErrors, TheyCountForOneOfferingOnly) {
    CapacityErrors capacityErrors;
    const Time now{100s};
    capacityErrors.record(kSpot, now);
    EXPECT_TRUE(capacityErrors.isUnavailable(kSpot, now));
    EXPECT_FALSE(capacityErrors.isUnavailable(kOrdinary, now));
    EXPECT_FALSE(capacityErrors.isUnavailable({"m-small", "z2", true}, now));
    EXPECT_EQ(capacityErrors.unavailableNow(now), std::vector{kSpot});
    EXPECT_TRUE(capacityErrors.unavailableNow(now + 4s).empty());
}

TEST(CapacityErrors, TheyAreRememberedUntilAllIsGranted) {
    CapacityErrors capacityErrors;
    const Time now{100s};
    EXPECT_FALSE(capacityErrors.hasRecentError(kOrdinary));
    capacityErrors.record(kOrdinary, now);
    capacityErrors.record(kOrdinary, now);
    EXPECT_TRUE(capacityErrors.hasRecentError(kOrdinary));
    EXPECT_FALSE(capacityErrors.isUnavailable(kOrdinary, now + 1h));
    EXPECT_TRUE(capacityErrors.hasRecentError(kOrdinary));
    capacityErrors.clear(kOrdinary);
    EXPECT_FALSE(capacityErrors.hasRecentError(kOrdinary));
    EXPECT_FALSE(capacityErrors.isUnavailable(kOrdinary, now));
    capacityErrors.record(kOrdinary, now);  // the pause begins anew
    EXPECT_FALSE(capacityErrors.isUnavailable(kOrdinary, now + 4s));
}

TEST(CapacityErrors, ATypeIsRefusedEverywhereOnceAllItsZonesAre) {
    CapacityErrors capacityErrors;
    const Time now{100s};
    protocol::MachineType type;
    type.name = "m-small";
    type.zones = {"z1", "z2"};
    capacityErrors.record({"m-small", "z1", false}, now);
    capacityErrors.record({"m-small", "z2", true}, now);  // spot machines alone
    EXPECT_FALSE(capacityErrors.unavailableEverywhere(type, now));
    capacityErrors.record({"m-small", "z2", false}, now + 1s);
    EXPECT_TRUE(capacityErrors.unavailableEverywhere(type, now + 1s));
    EXPECT_FALSE(capacityErrors.unavailableEverywhere(type, now + 4s));
}

struct InstanceRequestRequestsTest : testing::Test {
    Time now{100s};
    storage::TokenBucket ample{1000, now};
    InstanceRequestQueue requests{7};
};

TEST_F(InstanceRequestRequestsTest, OneRequestAsksForFiftyMachinesAtMost) {
    requests.enqueue(kOrdinary, 120, now);
    requests.enqueue(kSpot, 50, now);
    requests.enqueue(kSpot, 0, now);
    EXPECT_EQ(pending(requests), (Names{"r-7-1*50", "r-7-2*50", "r-7-3*20", "r-7-4*50"}));
    const auto due = requests.takeDue(ample, now);
    EXPECT_EQ(described(due), pending(requests));
    EXPECT_EQ(coordination::offeringOf(due[2]), kOrdinary);
    EXPECT_EQ(coordination::offeringOf(due[3]), kSpot);
}

TEST_F(InstanceRequestRequestsTest, WhatIsUnderWayIsNotSentAgain) {
    requests.enqueue(kOrdinary, 1, now);
    EXPECT_EQ(requests.takeDue(ample, now).size(), 1u);
    EXPECT_TRUE(requests.takeDue(ample, now + 1h).empty());
    EXPECT_EQ(pending(requests), Names{"r-7-1*1"});  // its machines are on their way
}

TEST_F(InstanceRequestRequestsTest, AnUnknownOutcomeIsRepeatedUnderItsNameAfterAPause) {
    requests.enqueue(kOrdinary, 3, now);
    requests.takeDue(ample, now);
    requests.scheduleRetry("r-7-1", now);
    EXPECT_TRUE(requests.takeDue(ample, now + 1999ms).empty());
    EXPECT_EQ(described(requests.takeDue(ample, now + 2s)), Names{"r-7-1*3"});
    requests.scheduleRetry("r-7-9", now);  // unknown: nothing comes of it
    EXPECT_EQ(pending(requests), Names{"r-7-1*3"});
}

TEST_F(InstanceRequestRequestsTest, ASettledRequestIsGoneAndItsNameIsNotReused) {
    requests.enqueue(kOrdinary, 3, now);
    requests.takeDue(ample, now);
    const auto settled = requests.complete("r-7-1");
    ASSERT_TRUE(settled);
    EXPECT_EQ(described({*settled}), Names{"r-7-1*3"});
    EXPECT_EQ(coordination::offeringOf(*settled), kOrdinary);
    EXPECT_FALSE(requests.complete("r-7-1"));  // a second answer
    requests.enqueue(kOrdinary, 3, now);
    EXPECT_EQ(pending(requests), Names{"r-7-2*3"});
}

TEST_F(InstanceRequestRequestsTest, WhatWasSentIsNeverWithdrawn) {
    requests.enqueue(kOrdinary, 1, now);
    requests.enqueue(kOrdinary, 2, now);
    requests.takeDue(ample, now);
    requests.scheduleRetry("r-7-2", now);  // of unknown outcome: the cloud may have carried it out
    requests.enqueue(kOrdinary, 3, now);
    requests.enqueue(kSpot, 4, now);
    requests.cancelUnsent(kOrdinary);
    EXPECT_EQ(pending(requests), (Names{"r-7-1*1", "r-7-2*2", "r-7-4*4"}));
}

TEST_F(InstanceRequestRequestsTest, TheBudgetBoundsWhatIsSentAtOnceAndTheOldestGoFirst) {
    storage::TokenBucket two(2, now);
    for (std::uint32_t count = 1; count <= 5; ++count) requests.enqueue(kOrdinary, count, now);
    EXPECT_EQ(described(requests.takeDue(two, now)), (Names{"r-7-1*1", "r-7-2*2"}));
    EXPECT_TRUE(requests.takeDue(two, now).empty());
    EXPECT_EQ(described(requests.takeDue(two, now + 1s)), (Names{"r-7-3*3", "r-7-4*4"}));
}

}  // namespace burlpoint::tests
