#include "protocol/settings.h"

#include <set>

#include "protocol/toml_section.h"

// Each function reads one table of the file. The platform defines the names of fields and tables.

namespace burlpoint::protocol {

namespace {

constexpr double kDayS = 86'400;
constexpr double kMaxAmount = 1e9;  // far above any real cluster; keeps sums exact

// Bounds of the key-value store's limits. A leader needs two writes in one transaction to record its
// leadership.
constexpr double kMinValueKb = 1;
constexpr double kMaxValueKb = 1e6;
constexpr double kMinTransactionWrites = 2;
constexpr double kMaxTransactionWrites = 1e6;

Seconds seconds(const TomlSection& section, const char* key, double least, double most = kDayS) {
    return Seconds(section.number(key, least, most));
}

unsigned toUnsigned(double number) { return static_cast<unsigned>(number); }

void readController(const TomlSection& root, Settings& settings) {
    settings.name = root.text("label");
    settings.zone = root.text("area");
    settings.listenAddress = root.address("bind");
    settings.peerListenAddress = root.address("peer_bind");
}

void readPeers(const TomlSection& root, Settings& settings) {
    std::set<std::string> names{settings.name};
    for (const auto& peer : root.sections("known")) {
        settings.peers.push_back({peer.text("label"), peer.text("area"), peer.address("peer_addr")});
        const auto& name = settings.peers.back().name;
        if (!names.insert(name).second) throw InvalidSettings("known: duplicate controller name " + name);
    }
}

void readServices(const TomlSection& services, Settings& settings) {
    settings.cloudAddress = services.address("cloud");
    settings.storeAddress = services.address("state");
}

void readTeams(const TomlSection& cluster, Settings& settings) {
    std::set<std::string> names;
    for (const auto& section : cluster.sections("teams")) {
        Team team;
        team.name = section.text("name");
        team.guaranteedCpus = section.number("cpus", 0, kMaxAmount);
        team.maxCpus = section.number("cpus_max", 0, kMaxAmount);
        team.guaranteedGpus = section.number("gpus", 0, kMaxAmount);
        team.maxGpus = section.number("gpus_max", 0, kMaxAmount);
        if (!names.insert(team.name).second)
            throw InvalidSettings("cluster.teams: duplicate team name " + team.name);
        settings.teams.push_back(std::move(team));
    }
}

void readObjectives(const TomlSection& cluster, Settings& settings) {
    for (const auto& section : cluster.sections("objectives")) {
        ServiceLevelObjective objective;
        objective.kind = section.text("kind");
        objective.jobClass = section.textOr("class", "");
        objective.timeLimit = Seconds(section.numberOr("within_s", 0, kDayS, 0));
        objective.share = section.numberOr("share", 0, 1, 1);
        settings.objectives.push_back(std::move(objective));
    }
}

void readWorkers(const TomlSection& workers, Settings& settings) {
    settings.heartbeatInterval = seconds(workers, "report_s", 0.01, 600);
    settings.workerLease = seconds(workers, "lease_s", 0.1);
    settings.gangWaitTimeout = seconds(workers, "gang_wait_s", 0);
    settings.gangPeerTimeout = seconds(workers, "gang_peer_s", 0);
    settings.cancelTimeout = seconds(workers, "cancel_s", 0);
    if (settings.workerLease <= settings.heartbeatInterval)
        throw InvalidSettings("cluster.workers.lease_s: must be longer than report_s");
}

void readStoreLimits(const TomlSection& store, Settings& settings) {
    settings.storeRequestsPerSecond = store.number("rps", 1, kMaxAmount);
    settings.storeWritesPerSecond = store.number("write_rps", 1, kMaxAmount);
    settings.maxValueKb = store.number("value_kb", kMinValueKb, kMaxValueKb);
    settings.maxTransactionWrites =
        toUnsigned(store.number("txn_ops", kMinTransactionWrites, kMaxTransactionWrites));
    const auto next = store.maybeSection("next");
    if (!next) return;
    // A limit that this table does not contain stays unchanged.
    StoreLimits limits;
    limits.writesPerSecond = next->numberOr("write_rps", 1, kMaxAmount, settings.storeWritesPerSecond);
    limits.maxValueKb = next->numberOr("value_kb", kMinValueKb, kMaxValueKb, settings.maxValueKb);
    limits.maxTransactionWrites = toUnsigned(next->numberOr(
        "txn_ops", kMinTransactionWrites, kMaxTransactionWrites, settings.maxTransactionWrites));
    settings.nextStoreLimits = limits;
}

void readCloud(const TomlSection& cloud, Settings& settings) {
    settings.cloudRequestsPerSecond = cloud.number("rps", 0.01, kMaxAmount);
    settings.cloudListLag = seconds(cloud, "list_lag_s", 0);
}

void readOwnLimits(const TomlSection& limits, Settings& settings) {
    settings.maxCpuCores = limits.number("core_share", 0.001, 1024);
    settings.maxMemoryMb = limits.number("mem_mb", 16, 1e7);
    settings.maxConnections = toUnsigned(limits.number("max_connections", 32, 1e7));
}

void readCluster(const TomlSection& cluster, Settings& settings) {
    settings.zones = cluster.texts("zones");
    settings.maxClockError =
        std::chrono::milliseconds(static_cast<long>(cluster.number("clock_error_ms", 0, 1e7)));
    readTeams(cluster, settings);
    readObjectives(cluster, settings);
    readWorkers(cluster.section("workers"), settings);
    readStoreLimits(cluster.section("state"), settings);
    readCloud(cluster.section("cloud"), settings);
    readOwnLimits(cluster.section("limits"), settings);
}

toml::table parseToml(const std::string& text) {
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        throw InvalidSettings("line " + std::to_string(error.source().begin.line) + ": " +
                              std::string(error.description()));
    }
}

}  // namespace

const Team* Settings::team(const std::string& wanted) const {
    const auto found =
        std::find_if(teams.begin(), teams.end(), [&](const auto& team) { return team.name == wanted; });
    return found == teams.end() ? nullptr : &*found;
}

Settings parseSettings(const std::string& text) {
    const auto document = parseToml(text);
    const TomlSection root(document, "");
    Settings settings;
    readController(root, settings);
    readPeers(root, settings);
    readServices(root.section("services"), settings);
    readCluster(root.section("cluster"), settings);
    return settings;
}

Settings readSettings(const std::string& path) { return readSettingsFile(path, parseSettings); }

}  // namespace burlpoint::protocol
