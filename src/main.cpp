#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <cstdlib>

#include "coordination/controller/controller.h"
#include "protocol/policy.h"
#include "protocol/settings.h"
#include "transport/executor.h"

namespace {

void startLogging() {
    spdlog::set_default_logger(spdlog::stderr_logger_st("burlpointd"));
    spdlog::set_pattern("%H:%M:%S.%e %l %v");
    const char* wanted = std::getenv("LOG_LEVEL");
    const std::string level = wanted ? wanted : "info";
    if (level == "error")
        spdlog::set_level(spdlog::level::err);
    else if (level == "debug")
        spdlog::set_level(spdlog::level::debug);
    else
        spdlog::set_level(spdlog::level::info);
    if (level != "error" && level != "debug" && level != "info")
        spdlog::error("LOG_LEVEL={}: not error, info or debug; info is used", level);
}

/// A socket for each worker of a large fleet is more than most systems give a process unasked.
void raiseFileLimit(unsigned connections) {
    constexpr rlim_t kOthers = 64;  // standard error, timers and the like
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= connections + kOthers) return;
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, connections + kOthers);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < connections + kOthers)
        spdlog::info("only {} open files of {} are allowed", limit.rlim_cur, connections + kOthers);
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): what fails before the settings are read ends the program
int main(int argc, char** argv) {
    CLI::App app{"burlpointd, a controller of the burlpoint cluster scheduler"};
    std::string config;
    std::string policyFile;
    bool check = false;
    app.add_option("--config", config, "the platform's settings (TOML)")->required()->type_name("FILE");
    app.add_option("--policy", policyFile, "the operators' settings (XML)")->type_name("FILE");
    app.add_flag("--check", check, "read the settings, report and exit");
    app.set_version_flag("--version", std::string("burlpointd ") + BURLPOINT_VERSION);
    CLI11_PARSE(app, argc, argv);

    startLogging();
    try {
        const auto settings = burlpoint::protocol::readSettings(config);
        const auto policy =
            policyFile.empty() ? burlpoint::protocol::Policy{} : burlpoint::protocol::readPolicy(policyFile);
        if (check) {
            std::cout << config << ": node " << settings.name << " in " << settings.zone << ", "
                      << settings.peers.size() << " peers, " << settings.teams.size() << " teams: good\n";
            return EXIT_SUCCESS;
        }
        raiseFileLimit(settings.maxConnections);
        asio::io_context io(burlpoint::transport::kSingleThread);
        burlpoint::coordination::Controller node(io, settings, policy);
        spdlog::info("{} serves {}", settings.name, settings.listenAddress);
        io.run();
    } catch (const std::exception& error) {
        spdlog::error("{}", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
