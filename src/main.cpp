#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>

#include "coordination/controller/controller.h"
#include "protocol/policy.h"
#include "protocol/settings.h"
#include "transport/executor.h"

namespace {

void configureLogging() {
    spdlog::set_default_logger(spdlog::stderr_logger_st("burlpointd"));
    spdlog::set_pattern("%H:%M:%S.%e %l %v");
    const char* variable = std::getenv("LOG_LEVEL");
    const std::string level = variable ? variable : "info";
    if (level == "error")
        spdlog::set_level(spdlog::level::err);
    else if (level == "debug")
        spdlog::set_level(spdlog::level::debug);
    else
        spdlog::set_level(spdlog::level::info);
    if (level != "error" && level != "debug" && level != "info")
        spdlog::error("unknown log level, using info LOG_LEVEL={}", level);
}

/// Raises the soft limit of open files as far as the hard limit allows. The usual default is too low for one
/// socket per worker of a large fleet.
void raiseOpenFileLimit(unsigned connections) {
    constexpr rlim_t kOtherFiles = 64;  // open files besides connections, such as standard error and timers
    const rlim_t needed = connections + kOtherFiles;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= needed) return;
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, needed);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < needed)
        spdlog::info("open file limit is below the required number allowed={} needed={}", limit.rlim_cur,
                     needed);
}

/// Prints the result of `--check` for valid settings.
void printSummary(const std::string& file, const burlpoint::protocol::Settings& settings) {
    std::cout << file << ": controller " << settings.name << " in " << settings.zone << ", "
              << settings.peers.size() << " peers, " << settings.teams.size() << " teams: good\n";
}

/// Runs a controller until the process is terminated.
void runController(const burlpoint::protocol::Settings& settings, const burlpoint::protocol::Policy& policy) {
    raiseOpenFileLimit(settings.maxConnections);
    asio::io_context io(burlpoint::transport::kSingleThread);
    const burlpoint::coordination::Controller controller(io, settings, policy);
    spdlog::info("controller started name={} address={}", settings.name, settings.listenAddress);
    io.run();
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an exception before the settings are read ends the process
int main(int argc, char** argv) {
    CLI::App app{"burlpointd, a controller of the burlpoint cluster scheduler"};
    std::string settingsFile;
    std::string policyFile;
    bool check = false;
    app.add_option("--config", settingsFile, "the platform's settings (TOML)")->required()->type_name("FILE");
    app.add_option("--policy", policyFile, "the operators' settings (XML)")->type_name("FILE");
    app.add_flag("--check", check, "read the settings, report and exit");
    app.set_version_flag("--version", std::string("burlpointd ") + BURLPOINT_VERSION);
    CLI11_PARSE(app, argc, argv);

    configureLogging();
    try {
        const auto settings = burlpoint::protocol::readSettings(settingsFile);
        const auto policy =
            policyFile.empty() ? burlpoint::protocol::Policy{} : burlpoint::protocol::readPolicy(policyFile);
        if (check) {
            printSummary(settingsFile, settings);
            return EXIT_SUCCESS;
        }
        runController(settings, policy);
    } catch (const std::exception& error) {
        spdlog::error("{}", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
