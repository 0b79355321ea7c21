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

const Offering kOnDemand{"m-small", "z1", false};
const Offering kSpot{"m-small", "z1", true};

/// The names and machine counts of the requests, as "name*count".
std::vector<std::string> describe(const std::vector<InstanceRequest>& requests) {
    std::vector<std::string> descriptions;
    descriptions.reserve(requests.size());
    for (const auto& request : requests)
        descriptions.push_back(request.name + "*" + std::to_string(request.count));
    return descriptions;
}

std::vector<std::string> pending(const InstanceRequestQueue& requests) {
    std::vector<InstanceRequest> all;
    requests.forEachPending([&](const InstanceRequest& request) { all.push_back(request); });
    return describe(all);
}

using Names = std::vector<std::string>;

}  // namespace

TEST(CapacityErrors, BackOffDoublesUpToItsMaximum) {
    CapacityErrors capacityErrors;
    Time now{100s};
    for (const auto backOff : {4s, 8s, 16s, 16s}) {
        capacityErrors.record(kOnDemand, now);
        EXPECT_TRUE(capacityErrors.isUnavailable(kOnDemand, now + backOff - 1ms));
        EXPECT_FALSE(capacityErrors.isUnavailable(kOnDemand, now + backOff));
        now += backOff;
    }
}

TEST(CapacityErrors, ErrorAffectsItsOfferingOnly) {
    CapacityErrors capacityErrors;
    const Time now{100s};
    capacityErrors.record(kSpot, now);
    EXPECT_TRUE(capacityErrors.isUnavailable(kSpot, now));
    EXPECT_FALSE(capacityErrors.isUnavailable(kOnDemand, now));
    EXPECT_FALSE(capacityErrors.isUnavailable({"m-small", "z2", true}, now));
    EXPECT_EQ(capacityErrors.unavailableNow(now), std::vector{kSpot});
    EXPECT_TRUE(capacityErrors.unavailableNow(now + 4s).empty());
}

TEST(CapacityErrors, ErrorIsRememberedUntilFulfilledInFull) {
    CapacityErrors capacityErrors;
    const Time now{100s};
    EXPECT_FALSE(capacityErrors.hasRecentError(kOnDemand));
    capacityErrors.record(kOnDemand, now);
    capacityErrors.record(kOnDemand, now);
    EXPECT_TRUE(capacityErrors.hasRecentError(kOnDemand));
    EXPECT_FALSE(capacityErrors.isUnavailable(kOnDemand, now + 1h));
    EXPECT_TRUE(capacityErrors.hasRecentError(kOnDemand));
    capacityErrors.clear(kOnDemand);
    EXPECT_FALSE(capacityErrors.hasRecentError(kOnDemand));
    EXPECT_FALSE(capacityErrors.isUnavailable(kOnDemand, now));
    capacityErrors.record(kOnDemand, now);  // the back-off starts again at 4 s
    EXPECT_FALSE(capacityErrors.isUnavailable(kOnDemand, now + 4s));
}

TEST(CapacityErrors, TypeIsUnavailableEverywhereOnceAllItsZonesAre) {
    CapacityErrors capacityErrors;
    const Time now{100s};
    protocol::MachineType type;
    type.name = "m-small";
    type.zones = {"z1", "z2"};
    capacityErrors.record({"m-small", "z1", false}, now);
    capacityErrors.record({"m-small", "z2", true}, now);  // spot machines only
    EXPECT_FALSE(capacityErrors.unavailableEverywhere(type, now));
    capacityErrors.record({"m-small", "z2", false}, now + 1s);
    EXPECT_TRUE(capacityErrors.unavailableEverywhere(type, now + 1s));
    EXPECT_FALSE(capacityErrors.unavailableEverywhere(type, now + 4s));
}

struct InstanceRequestQueueTest : testing::Test {
    Time now{100s};
    storage::TokenBucket ample{1000, now};
    InstanceRequestQueue requests{7};
};

TEST_F(InstanceRequestQueueTest, LargeRequestIsSplitIntoFiftyMachinesEach) {
    requests.enqueue(kOnDemand, 120, now);
    requests.enqueue(kSpot, 50, now);
    requests.enqueue(kSpot, 0, now);
    EXPECT_EQ(pending(requests), (Names{"r-7-1*50", "r-7-2*50", "r-7-3*20", "r-7-4*50"}));
    const auto due = requests.takeDue(ample, now);
    EXPECT_EQ(describe(due), pending(requests));
    EXPECT_EQ(coordination::offeringOf(due[2]), kOnDemand);
    EXPECT_EQ(coordination::offeringOf(due[3]), kSpot);
}

TEST_F(InstanceRequestQueueTest, RequestInFlightIsNotSentAgain) {
    requests.enqueue(kOnDemand, 1, now);
    EXPECT_EQ(requests.takeDue(ample, now).size(), 1u);
    EXPECT_TRUE(requests.takeDue(ample, now + 1h).empty());
    EXPECT_EQ(pending(requests), Names{"r-7-1*1"});  // it stays pending, as its machines are still expected
}

TEST_F(InstanceRequestQueueTest, UnknownOutcomeIsRetriedUnderTheSameNameAfterAPause) {
    requests.enqueue(kOnDemand, 3, now);
    requests.takeDue(ample, now);
    requests.scheduleRetry("r-7-1", now);
    EXPECT_TRUE(requests.takeDue(ample, now + 1999ms).empty());
    EXPECT_EQ(describe(requests.takeDue(ample, now + 2s)), Names{"r-7-1*3"});
    requests.scheduleRetry("r-7-9", now);  // unknown names are ignored
    EXPECT_EQ(pending(requests), Names{"r-7-1*3"});
}

TEST_F(InstanceRequestQueueTest, CompletedRequestIsRemovedAndItsNameNotReused) {
    requests.enqueue(kOnDemand, 3, now);
    requests.takeDue(ample, now);
    const auto completed = requests.complete("r-7-1");
    ASSERT_TRUE(completed);
    EXPECT_EQ(describe({*completed}), Names{"r-7-1*3"});
    EXPECT_EQ(coordination::offeringOf(*completed), kOnDemand);
    EXPECT_FALSE(requests.complete("r-7-1"));  // a duplicate answer
    requests.enqueue(kOnDemand, 3, now);
    EXPECT_EQ(pending(requests), Names{"r-7-2*3"});
}

TEST_F(InstanceRequestQueueTest, SentRequestIsNeverCancelled) {
    requests.enqueue(kOnDemand, 1, now);
    requests.enqueue(kOnDemand, 2, now);
    requests.takeDue(ample, now);
    requests.scheduleRetry("r-7-2", now);  // outcome unknown: the cloud may have carried it out
    requests.enqueue(kOnDemand, 3, now);
    requests.enqueue(kSpot, 4, now);
    requests.cancelUnsent(kOnDemand);
    EXPECT_EQ(pending(requests), (Names{"r-7-1*1", "r-7-2*2", "r-7-4*4"}));
}

TEST_F(InstanceRequestQueueTest, BudgetLimitsRequestsOldestFirst) {
    storage::TokenBucket two(2, now);
    for (std::uint32_t count = 1; count <= 5; ++count) requests.enqueue(kOnDemand, count, now);
    EXPECT_EQ(describe(requests.takeDue(two, now)), (Names{"r-7-1*1", "r-7-2*2"}));
    EXPECT_TRUE(requests.takeDue(two, now).empty());
    EXPECT_EQ(describe(requests.takeDue(two, now + 1s)), (Names{"r-7-3*3", "r-7-4*4"}));
}

}  // namespace burlpoint::tests
