// The platform's settings (TOML) and the operators' policy (XML): valid files, and the errors for others.
#include "protocol/settings.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "protocol/policy.h"

using namespace burlpoint;
using namespace burlpoint::protocol;

namespace {

const std::string kGood = R"(
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

/// The message when `from` in the good settings reads `to`.
std::string complaint(const std::string& from, const std::string& to) {
    auto text = kGood;
    text.replace(text.find(from), from.size(), to);
    try {
        parseSettings(text);
    } catch (const InvalidSettings& error) {
        return error.what();
    }
    return "";
}

std::string policyComplaint(const std::string& xml) {
    try {
        parsePolicy(xml);
    } catch (const InvalidSettings& error) {
        return error.what();
    }
    return "";
}

bool names(const std::string& message, const std::string& field) {
    return message.find(field) != std::string::npos;
}

}  // namespace

TEST(Settings, ValidFileIsReadAndUnknownTablesAreIgnored) {
    const auto s = parseSettings(kGood + "\n[later]\nunknown = 1\n");
    EXPECT_EQ(s.peers.at(0).address, "10.0.0.2:8081");
    EXPECT_EQ(s.team("t")->maxCpus, 16);
    EXPECT_EQ(s.team("u"), nullptr);
    EXPECT_EQ(s.clockError, std::chrono::milliseconds(25));
    EXPECT_EQ(s.workerLease, Seconds(24));
}

TEST(Settings, ErrorNamesTheInvalidField) {
    EXPECT_TRUE(names(complaint("label = \"one\"", ""), "label"));
    EXPECT_TRUE(names(complaint("bind = \"10.0.0.1:8080\"", "bind = \"here\""), "bind"));
    EXPECT_TRUE(names(complaint("label = \"two\"", "label = \"one\""), "two nodes named one"));
    EXPECT_TRUE(names(complaint("report_s = 3.0", "report_s = \"3\""), "cluster.workers.report_s"));
    EXPECT_TRUE(names(complaint("lease_s = 24.0", "lease_s = 2.0"), "cluster.workers.lease_s"));
    EXPECT_TRUE(names(complaint("rps = 200.0", "rps = -1"), "cluster.state.rps"));
    EXPECT_TRUE(names(complaint("cpus_max = 16", "cpus_max = nan"), "cluster.teams[0].cpus_max"));
    EXPECT_TRUE(names(complaint("zones = [\"north\", \"south\"]", "zones = [1]"), "cluster.zones"));
    EXPECT_TRUE(names(complaint("txn_ops = 32", ""), "cluster.state.txn_ops"));
    EXPECT_TRUE(names(complaint("area = \"north\"", "area = "), "line "));
}

// The next limits of the key-value store may be absent, all or some of them. Writes keep to the lower ones.
TEST(Settings, NextStoreLimitsAreOptionalAndChecked) {
    const auto without = parseSettings(kGood);
    EXPECT_FALSE(without.nextStoreLimits);
    EXPECT_EQ(without.minValueKb(), 8);
    EXPECT_EQ(without.minTransactionWrites(), 32u);
    EXPECT_EQ(without.minWritesPerSecond(), 40);
    const std::string at = "[cluster.cloud]", table = "[cluster.state.next]\n";
    const auto with = [&](const std::string& next) {
        auto text = kGood;
        return parseSettings(text.replace(text.find(at), at.size(), next + "\n" + at));
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
    const auto wrong = [&](const std::string& next) { return complaint(at, next + "\n" + at); };
    EXPECT_TRUE(names(wrong("[cluster.state]\nnext = 1"), "line "));  // the table twice
    EXPECT_TRUE(names(complaint("txn_ops = 32", "txn_ops = 32\nnext = 1"), "cluster.state.next: a table"));
    EXPECT_TRUE(names(wrong(table + "write_rps = 0"), "cluster.state.next.write_rps: must lie"));
    EXPECT_TRUE(names(wrong(table + "value_kb = \"2\""), "cluster.state.next.value_kb: a number"));
    EXPECT_TRUE(names(wrong(table + "value_kb = 0.5"), "cluster.state.next.value_kb: must lie"));
    EXPECT_TRUE(names(wrong(table + "txn_ops = 1"), "cluster.state.next.txn_ops: must lie"));
    EXPECT_TRUE(names(wrong(table + "txn_ops = nan"), "cluster.state.next.txn_ops: must lie"));
}

TEST(Policy, ErrorNamesTheInvalidElement) {
    EXPECT_EQ(parsePolicy("<burlpoint/>").idleKeep, Policy{}.idleKeep);
    EXPECT_EQ(parsePolicy("<burlpoint><idle-keep-s>7.5</idle-keep-s></burlpoint>").idleKeep, Seconds(7.5));
    EXPECT_TRUE(names(policyComplaint("<burlpoint><idle-keep>1</idle-keep></burlpoint>"), "<idle-keep>"));
    EXPECT_TRUE(names(policyComplaint("<burlpoint><boot-keep>much</boot-keep></burlpoint>"), "<boot-keep>"));
    EXPECT_TRUE(names(policyComplaint("<burlpoint><boot-keep>-1</boot-keep></burlpoint>"), "<boot-keep>"));
    EXPECT_TRUE(
        names(policyComplaint("<burlpoint><preempt>1</preempt><preempt>0</preempt></burlpoint>"), "twice"));
    EXPECT_TRUE(names(policyComplaint("<other/>"), "<other>"));
    EXPECT_TRUE(names(policyComplaint("<burlpoint>"), "not XML"));
}
