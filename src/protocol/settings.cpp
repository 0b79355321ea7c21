#include "protocol/settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <pugixml.hpp>
#include <set>
#include <sstream>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "transport/endpoint.h"

namespace burlpoint::protocol {

namespace {

std::string slurp(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::stringstream text;
    if (!in || !(text << in.rdbuf())) throw InvalidSettings(path + ": cannot be read");
    return text.str();
}

/// A TOML table with its name, so that each error names the whole field.
class Section {
  public:
    Section(const toml::table& table, std::string name) : table_(table), name_(std::move(name)) {}

    Section section(const char* key) const {
        const auto* child = table_[key].as_table();
        if (!child) throw InvalidSettings(path(key) + ": a table is needed");
        return {*child, path(key)};
    }
    std::vector<Section> sections(const char* key) const {
        std::vector<Section> out;
        const auto node = table_[key];
        if (!node) return out;
        const auto* array = node.as_array();
        if (!array) throw InvalidSettings(path(key) + ": a list of tables is needed");
        for (std::size_t i = 0; i < array->size(); ++i) {
            const auto name = path(key) + "[" + std::to_string(i) + "]";
            const auto* child = (*array)[i].as_table();
            if (!child) throw InvalidSettings(name + ": a table is needed");
            out.emplace_back(*child, name);
        }
        return out;
    }
    std::optional<Section> maybeSection(const char* key) const {
        return table_[key] ? std::optional(section(key)) : std::nullopt;
    }
    std::string text(const char* key) const {
        const auto value = table_[key].value_exact<std::string>();
        if (!value || value->empty()) throw InvalidSettings(path(key) + ": a text is needed");
        return *value;
    }
    std::string textOr(const char* key, std::string otherwise) const {
        return table_[key] ? text(key) : std::move(otherwise);
    }
    std::string address(const char* key) const {
        auto value = text(key);
        try {
            transport::parseEndpoint(value);
        } catch (const std::invalid_argument& error) {
            throw InvalidSettings(path(key) + ": " + error.what());
        }
        return value;
    }
    double number(const char* key, double least, double most) const {
        const auto node = table_[key];
        if (!node.is_number()) throw InvalidSettings(path(key) + ": a number is needed");
        const double value = *node.value<double>();
        if (!(value >= least && value <= most))
            throw InvalidSettings(path(key) + ": must lie between " + std::to_string(least) + " and " +
                                  std::to_string(most));
        return value;
    }
    double numberOr(const char* key, double least, double most, double otherwise) const {
        return table_[key] ? number(key, least, most) : otherwise;
    }
    std::vector<std::string> texts(const char* key) const {
        const auto* array = table_[key].as_array();
        if (!array || array->empty()) throw InvalidSettings(path(key) + ": a list of texts is needed");
        std::vector<std::string> out;
        for (const auto& element : *array) {
            const auto value = element.value_exact<std::string>();
            if (!value || value->empty()) throw InvalidSettings(path(key) + ": a list of texts is needed");
            out.push_back(*value);
        }
        return out;
    }

  private:
    std::string path(const char* key) const { return name_.empty() ? key : name_ + "." + key; }

    const toml::table& table_;
    std::string name_;
};

constexpr double kDay = 86'400;
constexpr double kLargestAmount = 1e9;

}  // namespace

const Team* Settings::team(const std::string& wanted) const {
    const auto found =
        std::find_if(teams.begin(), teams.end(), [&](const auto& t) { return t.name == wanted; });
    return found == teams.end() ? nullptr : &*found;
}

Settings parseSettings(const std::string& text) {
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error& error) {
        throw InvalidSettings("line " + std::to_string(error.source().begin.line) + ": " +
                              std::string(error.description()));
    }
    const Section top(root, "");
    Settings s;
    s.name = top.text("label");
    s.zone = top.text("area");
    s.listenAddress = top.address("bind");
    s.peerListenAddress = top.address("peer_bind");
    std::set<std::string> names{s.name};
    for (const auto& peer : top.sections("known")) {
        s.peers.push_back({peer.text("label"), peer.text("area"), peer.address("peer_addr")});
        if (!names.insert(s.peers.back().name).second)
            throw InvalidSettings("known: two nodes named " + s.peers.back().name);
    }
    const auto services = top.section("services");
    s.cloudAddress = services.address("cloud");
    s.storeAddress = services.address("state");

    const auto cluster = top.section("cluster");
    s.zones = cluster.texts("zones");
    s.clockError = std::chrono::milliseconds(static_cast<long>(cluster.number("clock_error_ms", 0, 1e7)));
    std::set<std::string> teams;
    for (const auto& t : cluster.sections("teams")) {
        Team team{t.text("name"), t.number("cpus", 0, kLargestAmount),
                  t.number("cpus_max", 0, kLargestAmount), t.number("gpus", 0, kLargestAmount),
                  t.number("gpus_max", 0, kLargestAmount)};
        if (!teams.insert(team.name).second)
            throw InvalidSettings("cluster.teams: two teams named " + team.name);
        s.teams.push_back(std::move(team));
    }
    for (const auto& o : cluster.sections("objectives"))
        s.objectives.push_back({o.text("kind"), o.textOr("class", ""),
                                Seconds(o.numberOr("within_s", 0, kDay, 0)), o.numberOr("share", 0, 1, 1)});
    const auto workers = cluster.section("workers");
    s.heartbeatInterval = Seconds(workers.number("report_s", 0.01, 600));
    s.workerLease = Seconds(workers.number("lease_s", 0.1, kDay));
    s.gangWaitTimeout = Seconds(workers.number("gang_wait_s", 0, kDay));
    s.gangPeerTimeout = Seconds(workers.number("gang_peer_s", 0, kDay));
    s.cancelTimeout = Seconds(workers.number("cancel_s", 0, kDay));
    if (s.workerLease <= s.heartbeatInterval)
        throw InvalidSettings("cluster.workers.lease_s: must be longer than report_s");
    const auto state = cluster.section("state");
    s.storeRequestsPerSecond = state.number("rps", 1, kLargestAmount);
    s.storeWritesPerSecond = state.number("write_rps", 1, kLargestAmount);
    s.maxValueKb = state.number("value_kb", 1, 1e6);
    s.maxTransactionWrites = static_cast<unsigned>(state.number("txn_ops", 2, 1e6));
    if (const auto next = state.maybeSection("next"))  // a limit that it does not name stays
        s.nextStoreLimits = {
            next->numberOr("write_rps", 1, kLargestAmount, s.storeWritesPerSecond),
            next->numberOr("value_kb", 1, 1e6, s.maxValueKb),
            static_cast<unsigned>(next->numberOr("txn_ops", 2, 1e6, s.maxTransactionWrites))};
    const auto cloud = cluster.section("cloud");
    s.cloudRequestsPerSecond = cloud.number("rps", 0.01, kLargestAmount);
    s.cloudListLag = Seconds(cloud.number("list_lag_s", 0, kDay));
    const auto limits = cluster.section("limits");
    s.coreShare = limits.number("core_share", 0.001, 1024);
    s.memoryMb = limits.number("mem_mb", 16, 1e7);
    s.maxConnections = static_cast<unsigned>(limits.number("max_connections", 32, 1e7));
    return s;
}

Settings readSettings(const std::string& path) {
    const auto text = slurp(path);
    try {
        return parseSettings(text);
    } catch (const InvalidSettings& error) {
        throw InvalidSettings(path + ": " + error.what());
    }
}

Policy parsePolicy(const std::string& text) {
    pugi::xml_document document;
    const auto result = document.load_string(text.c_str());
    if (!result) throw InvalidSettings(std::string("not XML: ") + result.description());
    const auto root = document.document_element();
    if (std::string_view(root.name()) != "burlpoint")
        throw InvalidSettings("<" + std::string(root.name()) + ">: the root element must be <burlpoint>");
    Policy policy;
    const auto number = [](const pugi::xml_node& node, double least, double most) {
        const std::string_view value = node.text().get();
        double parsed = 0;
        const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
        if (error != std::errc() || stop != value.data() + value.size() ||
            !(parsed >= least && parsed <= most))
            throw InvalidSettings("<" + std::string(node.name()) + ">: a number between " +
                                  std::to_string(least) + " and " + std::to_string(most) + " is needed");
        return parsed;
    };
    const std::map<std::string_view, std::function<void(const pugi::xml_node&)>> readers{
        {"leadership-s", [&](const auto& n) { policy.leadership = Seconds(number(n, 1, 600)); }},
        {"idle-keep-s", [&](const auto& n) { policy.idleKeep = Seconds(number(n, 0, kDay)); }},
        {"boot-keep", [&](const auto& n) { policy.bootKeep = number(n, 0, 1000); }},
        {"minimum-keep-s", [&](const auto& n) { policy.minimumKeep = Seconds(number(n, 0, kDay)); }},
        {"backlog-horizon-s", [&](const auto& n) { policy.backlogHorizon = Seconds(number(n, 1, kDay)); }},
        {"fetch-start-s", [&](const auto& n) { policy.fetchStart = Seconds(number(n, 0, 600)); }},
        {"longest-passed-over-s",
         [&](const auto& n) { policy.longestPassedOver = Seconds(number(n, 1, kDay)); }},
        {"preempt", [&](const auto& n) { policy.preempt = number(n, 0, 1) != 0; }},
    };
    std::set<std::string_view> seen;
    for (const auto& node : root.children()) {
        if (node.type() != pugi::node_element) continue;
        const auto reader = readers.find(node.name());
        if (reader == readers.end())
            throw InvalidSettings("<" + std::string(node.name()) + ">: unknown element");
        if (!seen.insert(reader->first).second)
            throw InvalidSettings("<" + std::string(node.name()) + ">: given twice");
        reader->second(node);
    }
    return policy;
}

Policy readPolicy(const std::string& path) {
    const auto text = slurp(path);
    try {
        return parsePolicy(text);
    } catch (const InvalidSettings& error) {
        throw InvalidSettings(path + ": " + error.what());
    }
}

}  // namespace burlpoint::protocol
