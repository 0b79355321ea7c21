// A user cancels a job at the moment at which the key-value store refuses the leader alone.

#include "play.h"

using namespace review;
using namespace burlpoint;

namespace {
constexpr double kInFlightS = 0.25;  // starts this soon after the confirmation may have been on their way
constexpr double kWatchS = 12;
}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return 2;
    Play play(argv, {});
    auto& stage = play.stage;
    stage.startAll();
    if (!play.until(10, [&] { return stage.leader().has_value(); })) return 2;
    play.pause(2);
    auto spec = Play::job("wk-000001", protocol::JobKind::array, 10'000, 1);
    spec.estimatedRunTime = Seconds(1);
    const auto leader = *stage.leader();
    const auto other = (leader + 1) % Stage::kControllers;
    if (!play.submit(spec, other, 10'000)) return 2;
    if (!play.until(15, [&] { return stage.machines.startCount(spec.id) > 500; })) return 2;
    play.pause(1);
    if (stage.leader() != leader) return 2;
    play.record.write("the leader is " + Stage::nameOf(leader) + "; tasks of " + spec.id + " start with every report");
    // The leader and its peers exchange their status once a second; the user cancels just after one exchange.
    const auto exchanged = stage.peerProxy(leader, other).packets();
    if (!play.until(3, [&] { return stage.peerProxy(leader, other).packets() > exchanged; })) return 2;
    play.pause(0.03);
    if (Play::trouble()) {
        stage.storeEndpoint(leader).outage = true;
        play.record.write("the state service refuses " + Stage::nameOf(leader) + " alone from now on");
    }
    auto& facts = stage.oracle.job(spec.id);
    play.record.write("the user asks " + Stage::nameOf(other) + " to cancel " + spec.id);
    stage.users.cancel(spec.id, other);
    if (!play.until(5, [&] { return facts.cancelConfirmed.has_value(); })) return 2;
    const auto confirmed = play.record.seconds();
    play.record.write("the user is told that " + spec.id + " is cancelled");
    auto seen = stage.machines.startCount(spec.id);
    std::uint64_t late = 0;
    play.each = [&] {
        const auto count = stage.machines.startCount(spec.id);
        if (count == seen) return;
        const auto after = play.record.seconds() - confirmed;
        play.record.write(std::to_string(count - seen) + " tasks of " + spec.id + " start " + std::to_string(after) +
                          " s after that");
        if (after > kInFlightS) late += count - seen;
        seen = count;
    };
    play.pause(kWatchS);
    play.each = nullptr;
    play.record.write("tasks started more than 0.25 s after the confirmation: " + std::to_string(late));
    return play.end(late > 0, "tasks of a cancelled job were started after its user had been told");
}
