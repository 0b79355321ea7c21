#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

int main(int argc, char** argv) {
    // A fixed seed gives the same generated inputs in every run, unless the environment sets RC_PARAMS.
    setenv("RC_PARAMS", "seed=20261201", 0);
    spdlog::set_level(spdlog::level::off);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
