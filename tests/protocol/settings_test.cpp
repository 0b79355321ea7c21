// The platform's settings (TOML) and the operators' policy (XML): valid files, and errors for invalid ones.
#include "protocol/settings.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "protocol/policy.h"

using namespace burlpoint;
using namespace burlpoint::protocol;

namespace {

const std::string kValidSettings = R"(
label = "one"
area = "north"
bind = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
[[known]]
label = "two"
area = "south"
peer_addr = "10.0.0.2:8081"
[services]
cloud = "10.0.1.1:80"
state = "10.0.1.2:80"
[cluster]
zones = ["north", "south"]
clock_error_ms = 25
[[cluster.teams]]
name = "t"
cpus = 8.0
cpus_max = 16
gpus = 0.0
gpus_max = 0.0
[[cluster.objectives]]
kind = "guarantee"
within_s = 10.0
share = 0.9
[cluster.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 44.0
[cluster.state]
rps = 200.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 32
[cluster.cloud]
rps = 2.0
list_lag_s = 12.0
[cluster.limits]
core_share = 0.16
mem_mb = 104.0
max_connections = 1500
)";

/// The error for the valid settings with `from` replaced by `to`; empty if there is none.
std::string settingsError(const std::string& from, const std::string& to) {
    auto text = kValidSettings;
    text.replace(text.find(from), from.size(), to);
    try {
        parseSettings(text);
    } catch (const InvalidSettings& error) {
        return error.what();
    }
    return "";
}

/// The error for the policy; empty if there is none.
std::string policyError(const std::string& xml) {
    try {
        parsePolicy(xml);
    } catch (const InvalidSettings& error) {
        return error.what();
    }
    return "";
}

bool contains(const std::string& message, const std::string& text) {
    return message.find(text) != std::string::npos;
}

}  // namespace

TEST(Settings, ValidFileIsReadAndUnknownTablesAreIgnored) {
    const auto s = parseSettings(kValidSettings + "\n[later]\nunknown = 1\n");
    EXPECT_EQ(s.peers.at(0).address, "10.0.0.2:8081");
    EXPECT_EQ(s.team("t")->maxCpus, 16);
    EXPECT_EQ(s.team("u"), nullptr);
    EXPECT_EQ(s.maxClockError, std::chrono::milliseconds(25));
    EXPECT_EQ(s.workerLease, Seconds(24));
}

TEST(Settings, ErrorNamesTheInvalidField) {
    EXPECT_TRUE(contains(settingsError("label = \"one\"", ""), "label"));
    EXPECT_TRUE(contains(settingsError("bind = \"10.0.0.1:8080\"", "bind = \"here\""), "bind"));
    EXPECT_TRUE(
        contains(settingsError("label = \"two\"", "label = \"one\""), "duplicate controller name one"));
    EXPECT_TRUE(contains(settingsError("report_s = 3.0", "report_s = \"3\""), "cluster.workers.report_s"));
    EXPECT_TRUE(contains(settingsError("lease_s = 24.0", "lease_s = 2.0"), "cluster.workers.lease_s"));
    EXPECT_TRUE(contains(settingsError("rps = 200.0", "rps = -1"), "cluster.state.rps"));
    EXPECT_TRUE(contains(settingsError("cpus_max = 16", "cpus_max = nan"), "cluster.teams[0].cpus_max"));
    EXPECT_TRUE(contains(settingsError("zones = [\"north\", \"south\"]", "zones = [1]"), "cluster.zones"));
    EXPECT_TRUE(contains(settingsError("txn_ops = 32", ""), "cluster.state.txn_ops"));
    EXPECT_TRUE(contains(settingsError("area = \"north\"", "area = "), "line "));
}

// Some or all of the next limits of the key-value store may be absent. Writes respect the lower limits.
TEST(Settings, NextStoreLimitsAreOptionalAndChecked) {
    const auto without = parseSettings(kValidSettings);
    EXPECT_FALSE(without.nextStoreLimits);
    EXPECT_EQ(without.minValueKb(), 8);
    EXPECT_EQ(without.minTransactionWrites(), 32u);
    EXPECT_EQ(without.minWritesPerSecond(), 40);
    const std::string insertBefore = "[cluster.cloud]", table = "[cluster.state.next]\n";
    const auto with = [&](const std::string& next) {
        auto text = kValidSettings;
        return parseSettings(
            text.replace(text.find(insertBefore), insertBefore.size(), next + "\n" + insertBefore));
    };
    const auto lower = with(table + "write_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 10");
    EXPECT_EQ(lower.storeWritesPerSecond, 40);
    EXPECT_EQ(lower.minValueKb(), 2);
    EXPECT_EQ(lower.maxValueBytes(), 2048u);
    EXPECT_EQ(lower.minTransactionWrites(), 10u);
    EXPECT_EQ(lower.minWritesPerSecond(), 28);
    const auto higher = with(table + "write_rps = 50.0\nvalue_kb = 9.0\ntxn_ops = 40\nnew = 1");
    EXPECT_EQ(higher.minValueKb(), 8);
    EXPECT_EQ(higher.minTransactionWrites(), 32u);
    EXPECT_EQ(higher.minWritesPerSecond(), 40);
    const auto some = with(table + "value_kb = 2.0");
    EXPECT_EQ(some.minValueKb(), 2);
    EXPECT_EQ(some.minTransactionWrites(), 32u);
    const auto errorWith = [&](const std::string& next) {
        return settingsError(insertBefore, next + "\n" + insertBefore);
    };
    EXPECT_TRUE(contains(errorWith("[cluster.state]\nnext = 1"), "line "));  // the table is defined twice
    EXPECT_TRUE(contains(settingsError("txn_ops = 32", "txn_ops = 32\nnext = 1"),
                         "cluster.state.next: expected a table"));
    EXPECT_TRUE(
        contains(errorWith(table + "write_rps = 0"), "cluster.state.next.write_rps: must be between"));
    EXPECT_TRUE(
        contains(errorWith(table + "value_kb = \"2\""), "cluster.state.next.value_kb: expected a number"));
    EXPECT_TRUE(
        contains(errorWith(table + "value_kb = 0.5"), "cluster.state.next.value_kb: must be between"));
    EXPECT_TRUE(contains(errorWith(table + "txn_ops = 1"), "cluster.state.next.txn_ops: must be between"));
    EXPECT_TRUE(contains(errorWith(table + "txn_ops = nan"), "cluster.state.next.txn_ops: must be between"));
}

TEST(Policy, ErrorNamesTheInvalidElement) {
    EXPECT_EQ(parsePolicy("<burlpoint/>").idleRetention, Policy{}.idleRetention);
    EXPECT_EQ(parsePolicy("<burlpoint><idle-keep-s>7.5</idle-keep-s></burlpoint>").idleRetention,
              Seconds(7.5));
    EXPECT_TRUE(contains(policyError("<burlpoint><idle-keep>1</idle-keep></burlpoint>"), "<idle-keep>"));
    EXPECT_TRUE(contains(policyError("<burlpoint><boot-keep>much</boot-keep></burlpoint>"), "<boot-keep>"));
    EXPECT_TRUE(contains(policyError("<burlpoint><boot-keep>-1</boot-keep></burlpoint>"), "<boot-keep>"));
    EXPECT_TRUE(contains(policyError("<burlpoint><preempt>1</preempt><preempt>0</preempt></burlpoint>"),
                         "duplicate element"));
    EXPECT_TRUE(contains(policyError("<other/>"), "<other>"));
    EXPECT_TRUE(contains(policyError("<burlpoint>"), "malformed XML"));
}
