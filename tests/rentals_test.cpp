#include <gtest/gtest.h>

#include "coordination/rental_refusals.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using bookkeeping::Offering;
using coordination::RentalRefusals;
using transport::Time;

namespace {

const Offering kOrdinary{"m-small", "z1", false};
const Offering kSpot{"m-small", "z1", true};

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

}  // namespace burlpoint::tests
