// A machine stops, and a job with a reservation that it can't use keeps a smaller one from free room.

#include "play.h"

using namespace review;
using namespace burlpoint;

namespace {
constexpr double kWaitS = 90;  // kit/more/hunt/LATER.md
}

int main(int argc, char** argv) {
    if (argc < 3) return 2;
    Limits limits;  // sahihi: workers report every 3 s, lease 24 s, cancellation 44 s; teams with 24 of 150 CPUs
    limits.reportS = 3;
    limits.leaseS = 24;
    limits.cancelS = 44;
    limits.gangWaitS = 40;
    limits.writeRps = 40;
    limits.valueKb = 8;
    limits.txnOps = 32;
    limits.memoryMb = 104;
    limits.teams = {{"timu-00", 24, 150}, {"timu-01", 24, 150}, {"timu-02", 24, 150}};
    Play play(argv, limits);
    auto& stage = play.stage;
    stage.fakeUsers = true;
    stage.cloud.maxPerZone = 1;
    stage.startAll();
    if (!play.until(10, [&] { return stage.leader().has_value(); })) return 2;
    play.pause(1);
    auto first = Play::job("wk-000001", protocol::JobKind::array, 1, 10);
    auto second = Play::job("wk-000002", protocol::JobKind::array, 1, 10);
    auto third = Play::job("wk-000003", protocol::JobKind::array, 10, 4);  // 40 CPUs: beyond its team's guarantee
    first.team = "timu-00";
    second.team = "timu-01";
    third.team = "timu-02";
    first.estimatedRunTime = second.estimatedRunTime = Seconds(180);
    if (!play.submit(first, 0, 0) || !play.until(10, [&] { return play.running(first.id) == 1; })) return 2;
    if (!play.submit(second, 0, 0) || !play.until(12, [&] { return play.running(second.id) == 1; })) return 2;
    if (!play.submit(third, 0, 0) || !play.until(12, [&] { return play.running(third.id) == 2; })) return 2;
    play.record.write("two machines of 16 CPUs: each runs one of " + first.id + " and " + second.id +
                      " (10 CPUs) and a task of " + third.id + " (4 CPUs)");
    if (Play::trouble()) {
        stage.cloud.noCapacity = true;
        std::string lost;
        for (const auto& [id, worker] : stage.machines.workers())
            if (worker->findActiveAttempt(second.id, 0)) lost = id;
        stage.cloud.stopMachine(lost);
        play.record.write("machine " + lost + " stops with " + second.id + " on it; the cloud has no other");
        if (!play.until(20, [&] { return stage.cloud.allReleased(); })) return 2;
        play.record.write("the controllers have released machine " + lost + "; the trouble is over");
    }
    play.pause(1);
    stage.oracle.job(third.id).completionLimit = third.tasks;  // its tasks end from now on
    play.record.write("tasks of " + third.id + " that run end from now on");
    if (!play.until(5, [&] { return play.running(third.id) == 0 || stage.oracle.job(third.id).allCompleted(); })) return 2;
    const auto began = play.record.seconds();
    const auto before = stage.machines.startCount(third.id);
    const bool started = play.until(
        kWaitS + 0.5, [&] { return stage.machines.startCount(third.id) > before || stage.oracle.job(third.id).allCompleted(); });
    const auto waited = play.record.seconds() - began;
    for (const auto& [id, worker] : stage.machines.workers()) {
        double used = 0;
        for (const auto& [attempt, task] : worker->tasks())
            if (task.state != protocol::TaskState::exited) used += stage.oracle.job(attempt.job).spec.cpus;
        play.record.write("machine " + id + " has " + std::to_string(16 - used) + " of 16 CPUs free");
    }
    play.record.write("of the " + std::to_string(third.tasks) + " tasks of " + third.id + ", each of 4 CPUs, " +
                      std::to_string(stage.oracle.job(third.id).completed.size()) + " are done; " +
                      (started ? "the next one started after " : "no other has started for ") + std::to_string(waited) + " s");
    return play.end(!started && waited >= kWaitS, "a job waits for 90 s beside a machine with room for it");
}
