// The entry point of the upgrade tests, and the old versions from which they start.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "upgrade/upgrade_fixture.h"

using namespace burlpoint::tests;

namespace {

const OldVersion kOldVersions[] = {
    {"FromProduction", {"old", BURLPOINT_PRODUCTION_BINARY}, false},
    {"FromPipelines", {"old", BURLPOINT_PIPELINES_BINARY}, true},
};

}  // namespace

INSTANTIATE_TEST_SUITE_P(, Upgrade, testing::ValuesIn(kOldVersions),
                         [](const auto& test) { return test.param.label; });

int main(int argc, char** argv) {
    spdlog::set_level(spdlog::level::off);
    testing::InitGoogleTest(&argc, argv);
    const int failed = RUN_ALL_TESTS();
    const bool filterMatchesNothing = testing::UnitTest::GetInstance()->test_to_run_count() == 0;
    return filterMatchesNothing ? EXIT_FAILURE : failed;
}
