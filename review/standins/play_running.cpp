// The only machine stops with all that is on it, and the cloud has no other.

#include "play.h"

using namespace review;
using namespace burlpoint;

namespace {
constexpr double kDetectS = 20;  // twice the lease: by then the task can't be on the machine by anybody's count
constexpr double kLagS = 3;      // PROTOCOL: "The state may lag by up to 3 s"
constexpr double kWatchS = 60;

std::string stateOf(const std::string& body) {
    try {
        const auto handle = protocol::unpackBody(body);
        return protocol::MapReader(handle.get()).text("bearing");
    } catch (const std::exception&) {
        return "";
    }
}
}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return 2;
    Play play(argv, {});
    auto& stage = play.stage;
    stage.fakeUsers = true;
    stage.cloud.maxPerZone = 1;
    stage.startAll();
    if (!play.until(10, [&] { return stage.leader().has_value(); })) return 2;
    play.pause(2);
    auto spec = Play::job("wk-000001", protocol::JobKind::array, 2, 4);
    spec.zone = "a";
    if (!play.submit(spec, 0, 0)) return 2;
    if (!play.until(15, [&] { return play.running(spec.id) == 2; })) return 2;
    play.pause(3);
    play.record.write("both tasks of " + spec.id + " run on the only machine");
    const auto began = play.record.seconds();
    if (Play::trouble()) {
        stage.cloud.noCapacity = true;
        for (std::string id; !stage.machines.workers().empty();) {
            id = stage.machines.workers().begin()->first;
            stage.cloud.stopMachine(id);
            play.record.write("machine " + id + " stops with all that is on it; the cloud has no other");
        }
    }
    stage.fakeUsers = false;  // from now on the one user below asks
    std::vector<std::shared_ptr<Wire>> wires(Stage::kControllers);
    std::vector<bool> asking(Stage::kControllers);
    std::vector<int> wrong(Stage::kControllers), answers(Stage::kControllers);
    std::vector<double> lastWrong(Stage::kControllers);
    double nextAsk = 0;
    play.each = [&] {
        if (play.record.seconds() < nextAsk) return;
        nextAsk = play.record.seconds() + 5;  // "Users poll roughly every 5 s"
        for (std::size_t i = 0; i < Stage::kControllers; ++i) {
            if (asking[i]) continue;
            asking[i] = true;
            if (!wires[i] || !wires[i]->usable()) wires[i] = std::make_shared<Wire>(stage.io, stage.address(i));
            wires[i]->request("GET", "/submissions/" + spec.id, "", Duration(2000), [&, i](int status, std::string body) {
                asking[i] = false;
                const auto state = status == 200 ? stateOf(body) : "";
                const auto tasks = play.running(spec.id);
                play.record.write(Stage::nameOf(i) + " answers " + std::to_string(status) + " " + state + "; " +
                                  std::to_string(tasks) + " tasks run");
                if (status != 200) return;
                ++answers[i];
                const auto since = play.record.seconds() - began;
                if (state != "running" || tasks > 0 || since < kDetectS + kLagS) return;
                ++wrong[i];
                lastWrong[i] = since;
            });
        }
    };
    play.pause(kDetectS + kLagS + kWatchS);
    play.each = nullptr;
    bool broken = false;
    for (std::size_t i = 0; i < Stage::kControllers; ++i) {
        play.record.write(Stage::nameOf(i) + (stage.leader() == i ? " (leader)" : "") + ": " + std::to_string(answers[i]) +
                          " answers, " + std::to_string(wrong[i]) + " of them \"running\" though no task runs, the last " +
                          std::to_string(lastWrong[i]) + " s after the machine stopped");
        if (answers[i] == 0) return 2;
        broken |= wrong[i] > 0;
    }
    return play.end(broken, "a user is told that a job runs of which no task has run for long");
}
