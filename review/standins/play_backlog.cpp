// The leader ends while large arrays wait for machines that the cloud doesn't have.

#include <iostream>
#include <sstream>

#include "balancer.h"
#include "stage.h"

using namespace review;
using namespace burlpoint;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kTasks = 100'000;  // PROTOCOL: "number of tasks, at most 100,000"
constexpr int kArrays = 3;
constexpr double kWatchS = 60;
constexpr double kRestartS = 3;  // BRIEF: "back about 3 s after an end"

protocol::JobSpec job(const std::string& id, protocol::JobKind kind, protocol::Priority priority, std::uint32_t tasks,
                      double cpus) {
    protocol::JobSpec spec;
    spec.id = id;
    spec.jobClass = kind == protocol::JobKind::service ? "claimdesk-portal" : "receipt-scan";
    spec.team = "team";
    spec.kind = kind;
    spec.priority = priority;
    spec.tasks = tasks;
    spec.cpus = cpus;
    spec.memoryGb = 1.8;
    spec.image = "image-1";
    spec.imageGb = 1;
    spec.estimatedRunTime = Seconds(kind == protocol::JobKind::service ? 0 : 60);
    return spec;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return 2;
    const char* variable = std::getenv("TROUBLE");
    const bool trouble = !variable || std::string(variable) != "0";
    std::vector<std::string> command;
    std::istringstream words(argv[2]);
    for (std::string word; words >> word;) command.push_back(word);
    Record record(argv[1]);
    const Limits limits;
    Stage stage(command, limits);
    // The platform: "If it goes over the limit, it is killed and started again" (DEPLOY, "Memory").
    std::vector<double> restartAt(Stage::kControllers, 0);
    std::vector<int> killed(Stage::kControllers, 0);
    double nextLook = 0;
    std::optional<std::size_t> lastLeader;
    const auto platform = [&] {
        for (std::size_t i = 0; i < Stage::kControllers; ++i) {
            if (!stage.isRunning(i)) {
                if (record.seconds() < restartAt[i]) continue;
                stage.start(i);
                record.write(Stage::nameOf(i) + " is started");
                continue;
            }
            const auto held = stage.peakMemoryMb(i);
            if (held <= limits.memoryMb) continue;
            stage.kill(i);
            ++killed[i];
            restartAt[i] = record.seconds() + kRestartS;
            record.write(Stage::nameOf(i) + " held " + std::to_string(held) + " MB of " +
                         std::to_string(limits.memoryMb) + " MB and is killed");
        }
        if (stage.leader() == lastLeader) return;
        lastLeader = stage.leader();
        record.write(lastLeader ? "the leader is " + Stage::nameOf(*lastLeader) : "there is no leader");
    };
    const auto until = [&](double seconds, const std::function<bool()>& condition) {
        const auto end = record.seconds() + seconds;
        while (record.seconds() < end && !condition()) {
            stage.step();
            if (record.seconds() < nextLook) continue;
            nextLook = record.seconds() + 0.02;
            platform();
        }
        return condition();
    };
    const auto running = [&](const std::string& id) {
        return stage.machines.countTasks(id, protocol::TaskState::running);
    };
    const auto submit = [&](const protocol::JobSpec& spec) {
        stage.users.submit(spec, 0);
        const bool accepted = until(20, [&] { return stage.oracle.job(spec.id).accepted; });
        record.write("job " + spec.id + (accepted ? " is accepted" : " is not accepted"));
        return accepted;
    };
    stage.startAll();
    if (!until(10, [&] { return stage.leader().has_value(); })) return 2;
    until(2, [] { return false; });
    const auto portal = job("wk-000001", protocol::JobKind::service, protocol::Priority::production, 2, 4);
    if (!submit(portal) || !until(20, [&] { return running(portal.id) == 2; })) return 2;
    record.write("both replicas of " + portal.id + " run");
    for (int i = 0; i < kArrays; ++i) {
        if (!submit(job("wk-00010" + std::to_string(i), protocol::JobKind::array, protocol::Priority::normal, kTasks, 16)))
            return 2;
        if (i == 0) until(10, [] { return false; });  // the cloud has refused all that it doesn't have
    }
    until(3, [] { return false; });
    if (killed[0] + killed[1] + killed[2] > 0 || running(portal.id) != 2 || !stage.leader()) return 2;
    for (std::size_t i = 0; i < Stage::kControllers; ++i)
        record.write(Stage::nameOf(i) + " has held up to " + std::to_string(stage.peakMemoryMb(i)) + " MB");
    if (trouble) {
        const auto leader = *stage.leader();
        stage.kill(leader);
        restartAt[leader] = record.seconds() + kRestartS;
        record.write("the leader, " + Stage::nameOf(leader) + ", ends");
    }
    until(kWatchS, [] { return false; });
    record.write("replicas of " + portal.id + " that run: " + std::to_string(running(portal.id)));
    for (std::size_t i = 0; i < Stage::kControllers; ++i)
        record.write(Stage::nameOf(i) + " was killed for memory " + std::to_string(killed[i]) + " times");
    for (const auto& violation : stage.oracle.violations) record.write("also seen: " + violation);
    const bool broken = killed[0] + killed[1] + killed[2] > 0;
    record.write(broken ? "processes ended for memory" : "no process ended");
    return broken ? 1 : 0;
}
