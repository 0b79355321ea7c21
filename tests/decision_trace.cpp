// Writes every action that leaders decide on in generated histories, and the encodings of fixed messages and
// records, to standard output. Two versions of the sources with the same behaviour write the same output;
// tools/compare-traces compares them. Usage: decision_trace [HISTORIES]
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "base/clock.h"
#include "protocol/cloud_messages.h"
#include "protocol/msgpack_codec.h"
#include "protocol/peer_messages.h"
#include "simulation/histories.h"
#include "storage/records.h"

namespace burlpoint::tests {
namespace {

using protocol::Heartbeat;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::WorkerCommand;
using simulation::Faults;
using simulation::SimulatedCluster;

constexpr std::uint64_t kDefaultHistories = 200;

std::string hex(std::string_view bytes) {
    std::ostringstream out;
    out << std::hex << std::setfill('0');
    for (const char byte : bytes)
        out << std::setw(2) << static_cast<unsigned>(static_cast<unsigned char>(byte));
    return out.str();
}

std::string joinedIds(const std::vector<std::string>& ids) {
    std::string out;
    for (const auto& id : ids) out += " " + id;
    return out;
}

// The trace must not change when types and fields are renamed, so its words are fixed here and do not follow
// their names.
std::string describe(const std::vector<WorkerCommand>& commands) {
    return hex(protocol::encodeHeartbeatResponse(0, commands));
}

std::string describe(const coordination::AnswerHeartbeat& action) {
    return "answer-heartbeat " + std::to_string(action.request) +
           (action.verdict == coordination::HeartbeatVerdict::accepted ? " accepted " : " refused ") +
           describe(action.commands);
}
std::string describe(const coordination::SendCommands& action) {
    return "command " + action.machine + " " + action.address + " " + std::to_string(action.incarnation) +
           " " + std::to_string(action.latestVersionAtSend.incarnation) + "." +
           std::to_string(action.latestVersionAtSend.sequence) + " " + describe(action.commands);
}
std::string describe(const coordination::WriteState& action) {
    return "write " + hex(protocol::encodeTransaction(action.conditions, action.writes));
}
std::string describe(const coordination::RefreshReplica&) { return "refresh"; }
std::string describe(const coordination::ScaleOut& action) {
    return "scale-out " + hex(protocol::encodeInstanceRequest(action.request));
}
std::string describe(const coordination::ScaleIn& action) { return "scale-in" + joinedIds(action.machines); }
std::string describe(const coordination::ListMachines&) { return "list-machines"; }
std::string describe(const coordination::ListTypes&) { return "list-types"; }
std::string describe(const coordination::Resign& action) {
    const bool defers =
        coordination::resignationFor(action.reason) == coordination::Election::Resignation::deferToPeers;
    return std::string("resign") + (defers ? " deferring" : "");
}

struct HistoryKind {
    std::string name;
    Faults faults;
    JobGenerator generateJob;
};

std::vector<HistoryKind> historyKinds() {
    Faults crashing;
    crashing.leaderCrashesPerSecond = 0.12;
    Faults partitioned;
    partitioned.workerPartitionsPerSecond = 0.03;
    partitioned.workerHangsPerSecond = 0.02;
    partitioned.lateExecutionProbability = 0.12;
    partitioned.messageLossProbability = 0.1;
    partitioned.leaderCrashesPerSecond = 0.03;
    Faults lateCopies;
    lateCopies.inboundLinkFailuresPerSecond = 0.02;
    lateCopies.heartbeatDuplicateProbability = 0.4;
    lateCopies.workerRestartsPerSecond = 0.01;
    lateCopies.workerCounterResetsPerSecond = 0.004;
    lateCopies.leaderStoreLossesPerSecond = 0.03;
    lateCopies.leaderCrashesPerSecond = 0.03;
    return {{"every-failure", {}, randomJob},
            {"pipelines", {}, randomJobWithDependencies},
            {"crashing-leaders", crashing, randomJob},
            {"cut-off-workers", partitioned, randomJob},
            {"late-copies", lateCopies, randomJobWithDependencies}};
}

/// Runs the history with the given number. Returns whether it ended without a failure.
bool traceHistory(std::uint64_t number, const HistoryKind& kind) {
    std::cout << "history " << number << " " << kind.name << "\n";
    SimulatedCluster cluster(seedOf(number), kind.faults);
    const auto& environment = cluster.environment;
    const auto startTime = environment.now();
    cluster.leaders.onAction = [&](const coordination::Action& action) {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(environment.now() - startTime);
        std::cout << at.count() << " " << std::visit([](const auto& a) { return describe(a); }, action)
                  << "\n";
    };
    const auto failure = runHistory(cluster, Seconds(100), {}, kind.generateJob);
    std::cout << "starts " << cluster.occurrences.startedTasks << " take-overs "
              << cluster.occurrences.failovers << " verdict " << failure << "\n";
    return failure.empty();
}

JobSpec fullSpec() {
    JobSpec spec;
    spec.id = "wk-000412";
    spec.jobClass = "train";
    spec.team = "vision";
    spec.kind = JobKind::gang;
    spec.priority = protocol::Priority::high;
    spec.tasks = 16;
    spec.cpus = 8.5;
    spec.gpus = 1;
    spec.memoryGb = 64;
    spec.image = "img-07";
    spec.imageGb = 6.25;
    spec.types = std::vector<std::string>{"g8", "c4"};
    spec.zone = "a";
    spec.singleZone = spec.spot = true;
    spec.estimatedRunTime = Seconds(240);
    spec.checkpointInterval = Seconds(30);
    spec.saveTime = Seconds(4);
    spec.deadline = Seconds(900);
    spec.dependencies = {"wk-000398", "wk-000405"};
    return spec;
}

void writeEncoding(const std::string& name, std::string_view bytes) {
    std::cout << "encoding " << name << " " << hex(bytes) << "\n";
}

void traceJobMessages() {
    protocol::MessagePacker packed;
    protocol::packSpec(packed, fullSpec());
    writeEncoding("job", packed.str());
    writeEncoding("minimal-job", [] {
        JobSpec minimal;
        minimal.id = "wk-1";
        protocol::MessagePacker packer;
        protocol::packSpec(packer, minimal);
        return packer.str();
    }());
    writeEncoding("job-reply", protocol::encodeJobReply("wk-1", protocol::JobState::running));
    writeEncoding("job-counts", protocol::encodeJobReply("wk-1", protocol::JobState::done, 3, 13));
    writeEncoding("error", protocol::encodeErrorReply("some reason"));
}

void traceWorkerMessages() {
    using protocol::ExitReason;
    using protocol::TaskState;
    Heartbeat heartbeat{"m-1", "10.0.0.1:9000", "g8", "a", true, 2, 88, 41, Seconds(12.5), {}};
    for (const auto state : {TaskState::fetching, TaskState::waiting, TaskState::running, TaskState::saving})
        heartbeat.tasks.push_back(
            {{"wk-1", static_cast<std::uint32_t>(state), 7}, state, ExitReason::none, false});
    for (const auto reason :
         {ExitReason::done, ExitReason::stopped, ExitReason::gangMemberExited, ExitReason::gangTimedOut,
          ExitReason::error, ExitReason::machineFull, ExitReason::busy, ExitReason::unknownAttempt})
        heartbeat.tasks.push_back({{"wk-2", static_cast<std::uint32_t>(reason), 8},
                                   TaskState::exited,
                                   reason,
                                   reason == ExitReason::stopped});
    writeEncoding("heartbeat", protocol::encodeHeartbeat(heartbeat));
    const std::vector<WorkerCommand> commands{
        {protocol::CommandKind::start, {"wk-1", 0, 1}, Seconds(0)},
        {protocol::CommandKind::stop, {"wk-1", 1, 2}, Seconds(10.5)},
        {protocol::CommandKind::acknowledge, {"wk-1", 2, 3}, Seconds(0)}};
    writeEncoding("heartbeat-reply", protocol::encodeHeartbeatResponse(41, commands));
    writeEncoding("direct-command", protocol::encodeDirectCommands(41, 2, commands));
    writeEncoding("elsewhere", protocol::encodeRedirect("node-2"));
    writeEncoding("elsewhere-unknown", protocol::encodeRedirect(""));
}

void traceOtherMessages() {
    writeEncoding("rental", protocol::encodeInstanceRequest({"r-17", "g8", "a", true, 12}));
    writeEncoding("release", protocol::encodeInstanceDeletion({"m-1", "m-2"}));
    writeEncoding("types", protocol::encodeMachineTypes(
                               {{"g8", 96, 8, 768, 200, 1.5, 12, 4.5, Seconds(45), {"a", "b"}}}));
    writeEncoding("transaction",
                  protocol::encodeTransaction({{"a/b", 0}, {"c", 7}},
                                              {{"a/b", storage::encodeToken(5), 7}, {"c", std::nullopt, 0}}));
    writeEncoding("lease", protocol::encodeLease(std::chrono::milliseconds(5000)));
    writeEncoding("peer-status",
                  protocol::encodePeerStatus(
                      {"node-1", 41, 40, 250, 41, 2500, {{"wk-1", 3}}, 431, 99, 12, {{"wk-2", 7}}, true}));
    for (const auto& path : {protocol::paths::extendLease(7), protocol::paths::lease(7),
                             protocol::paths::keyPage("bp/", "bp/job/wk 1", 500),
                             protocol::paths::watch("bp/", 431, std::chrono::milliseconds(10'000)),
                             protocol::paths::instancePage("m-1", 500)})
        writeEncoding("path", path);
}

void traceRecords() {
    using storage::TerminalState;
    for (const auto terminalState : {TerminalState::none, TerminalState::done, TerminalState::cancelled}) {
        const storage::JobRecord record{fullSpec(), terminalState,    1'764'000'000'000, 16,
                                        64,         1'764'000'100'000};
        writeEncoding("job-record", storage::encodeJob(record));
        writeEncoding("final-record", storage::encodeTerminatedJob(record, 200));
    }
    writeEncoding("leader-record", storage::encodeLeader({"node-1", 41}));
    writeEncoding("token-record", storage::encodeToken(41));
    writeEncoding("machine-record", storage::encodeMachine({"10.0.0.1:9000", "g8", "a", true}));
    std::vector<bool> bits(37);
    for (std::size_t i = 0; i < bits.size(); i += 3) bits[i] = true;
    writeEncoding("bits", storage::encodeBits(bits, 4, 33));
    for (const auto& key : {storage::keys::job("wk-1"), storage::keys::bitmapChunk("wk-1", 3),
                            storage::keys::bitmapPart("wk-1", 64, 96), storage::keys::machine("m-1")})
        writeEncoding("key", key);
}

}  // namespace
}  // namespace burlpoint::tests

int main(int argc, char** argv) {
    using namespace burlpoint::tests;
    spdlog::set_level(spdlog::level::off);
    const std::uint64_t histories = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultHistories;
    traceJobMessages();
    traceWorkerMessages();
    traceOtherMessages();
    traceRecords();
    const auto kinds = historyKinds();
    bool allSucceeded = true;
    for (std::uint64_t number = 1; number <= histories; ++number)
        allSucceeded = traceHistory(number, kinds[number % kinds.size()]) && allSucceeded;
    return allSucceeded ? EXIT_SUCCESS : EXIT_FAILURE;
}
