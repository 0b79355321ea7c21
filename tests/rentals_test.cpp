#include <gtest/gtest.h>

#include "coordination/rental_refusals.h"
#include "coordination/rental_requests.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using bookkeeping::Offering;
using coordination::RentalRefusals;
using coordination::RentalRequests;
using protocol::RentalRequest;
using transport::Time;

namespace {

const Offering kOrdinary{"m-small", "z1", false};
const Offering kSpot{"m-small", "z1", true};

/// The requests' names and counts, as "name*count".
std::vector<std::string> described(const std::vector<RentalRequest>& requests) {
    std::vector<std::string> out;
    out.reserve(requests.size());
    for (const auto& request : requests) out.push_back(request.name + "*" + std::to_string(request.count));
    return out;
}

std::vector<std::string> pending(const RentalRequests& requests) {
    std::vector<RentalRequest> all;
    requests.forEach([&](const RentalRequest& request) { all.push_back(request); });
    return described(all);
}

using Names = std::vector<std::string>;

}  // namespace

TEST(RentalRefusals, TheirPauseDoublesUpToABound) {
    RentalRefusals refusals;
    Time now{100s};
    for (const auto pause : {4s, 8s, 16s, 16s}) {
        refusals.note(kOrdinary, now);
        EXPECT_TRUE(refusals.refused(kOrdinary, now + pause - 1ms));
        EXPECT_FALSE(refusals.refused(kOrdinary, now + pause));
        now += pause;
    }
}

TEST(RentalRefusals, TheyCountForOneOfferingOnly) {
    RentalRefusals refusals;
    const Time now{100s};
    refusals.note(kSpot, now);
    EXPECT_TRUE(refusals.refused(kSpot, now));
    EXPECT_FALSE(refusals.refused(kOrdinary, now));
    EXPECT_FALSE(refusals.refused({"m-small", "z2", true}, now));
    EXPECT_EQ(refusals.refusedNow(now), std::vector{kSpot});
    EXPECT_TRUE(refusals.refusedNow(now + 4s).empty());
}

TEST(RentalRefusals, TheyAreRememberedUntilAllIsGranted) {
    RentalRefusals refusals;
    const Time now{100s};
    EXPECT_FALSE(refusals.remembered(kOrdinary));
    refusals.note(kOrdinary, now);
    refusals.note(kOrdinary, now);
    EXPECT_TRUE(refusals.remembered(kOrdinary));
    EXPECT_FALSE(refusals.refused(kOrdinary, now + 1h));
    EXPECT_TRUE(refusals.remembered(kOrdinary));
    refusals.forget(kOrdinary);
    EXPECT_FALSE(refusals.remembered(kOrdinary));
    EXPECT_FALSE(refusals.refused(kOrdinary, now));
    refusals.note(kOrdinary, now);  // the pause begins anew
    EXPECT_FALSE(refusals.refused(kOrdinary, now + 4s));
}

TEST(RentalRefusals, ATypeIsRefusedEverywhereOnceAllItsZonesAre) {
    RentalRefusals refusals;
    const Time now{100s};
    protocol::MachineType type;
    type.name = "m-small";
    type.zones = {"z1", "z2"};
    refusals.note({"m-small", "z1", false}, now);
    refusals.note({"m-small", "z2", true}, now);  // spot machines alone
    EXPECT_FALSE(refusals.refusedEverywhere(type, now));
    refusals.note({"m-small", "z2", false}, now + 1s);
    EXPECT_TRUE(refusals.refusedEverywhere(type, now + 1s));
    EXPECT_FALSE(refusals.refusedEverywhere(type, now + 4s));
}

struct RentalRequestsTest : testing::Test {
    Time now{100s};
    storage::RateBudget ample{1000, now};
    RentalRequests requests{7};
};

TEST_F(RentalRequestsTest, OneRequestAsksForFiftyMachinesAtMost) {
    requests.add(kOrdinary, 120, now);
    requests.add(kSpot, 50, now);
    requests.add(kSpot, 0, now);
    EXPECT_EQ(pending(requests), (Names{"r-7-1*50", "r-7-2*50", "r-7-3*20", "r-7-4*50"}));
    const auto due = requests.takeDue(ample, now);
    EXPECT_EQ(described(due), pending(requests));
    EXPECT_EQ(coordination::offeringOf(due[2]), kOrdinary);
    EXPECT_EQ(coordination::offeringOf(due[3]), kSpot);
}

TEST_F(RentalRequestsTest, WhatIsUnderWayIsNotSentAgain) {
    requests.add(kOrdinary, 1, now);
    EXPECT_EQ(requests.takeDue(ample, now).size(), 1u);
    EXPECT_TRUE(requests.takeDue(ample, now + 1h).empty());
    EXPECT_EQ(pending(requests), Names{"r-7-1*1"});  // its machines are on their way
}

TEST_F(RentalRequestsTest, AnUnknownOutcomeIsRepeatedUnderItsNameAfterAPause) {
    requests.add(kOrdinary, 3, now);
    requests.takeDue(ample, now);
    requests.repeat("r-7-1", now);
    EXPECT_TRUE(requests.takeDue(ample, now + 1999ms).empty());
    EXPECT_EQ(described(requests.takeDue(ample, now + 2s)), Names{"r-7-1*3"});
    requests.repeat("r-7-9", now);  // unknown: nothing comes of it
    EXPECT_EQ(pending(requests), Names{"r-7-1*3"});
}

TEST_F(RentalRequestsTest, ASettledRequestIsGoneAndItsNameIsNotReused) {
    requests.add(kOrdinary, 3, now);
    requests.takeDue(ample, now);
    const auto settled = requests.settle("r-7-1");
    ASSERT_TRUE(settled);
    EXPECT_EQ(described({*settled}), Names{"r-7-1*3"});
    EXPECT_EQ(coordination::offeringOf(*settled), kOrdinary);
    EXPECT_FALSE(requests.settle("r-7-1"));  // a second answer
    requests.add(kOrdinary, 3, now);
    EXPECT_EQ(pending(requests), Names{"r-7-2*3"});
}

TEST_F(RentalRequestsTest, WhatWasSentIsNeverWithdrawn) {
    requests.add(kOrdinary, 1, now);
    requests.add(kOrdinary, 2, now);
    requests.takeDue(ample, now);
    requests.repeat("r-7-2", now);  // of unknown outcome: the cloud may have carried it out
    requests.add(kOrdinary, 3, now);
    requests.add(kSpot, 4, now);
    requests.withdrawUnsent(kOrdinary);
    EXPECT_EQ(pending(requests), (Names{"r-7-1*1", "r-7-2*2", "r-7-4*4"}));
}

TEST_F(RentalRequestsTest, TheBudgetBoundsWhatIsSentAtOnceAndTheOldestGoFirst) {
    storage::RateBudget two(2, now);
    for (std::uint32_t count = 1; count <= 5; ++count) requests.add(kOrdinary, count, now);
    EXPECT_EQ(described(requests.takeDue(two, now)), (Names{"r-7-1*1", "r-7-2*2"}));
    EXPECT_TRUE(requests.takeDue(two, now).empty());
    EXPECT_EQ(described(requests.takeDue(two, now + 1s)), (Names{"r-7-3*3", "r-7-4*4"}));
}

}  // namespace burlpoint::tests
