// A leader that the state service refuses alone starts tasks of a job after its cancellation was confirmed.

#include <algorithm>
#include <exception>
#include <iostream>

#include "rig.h"

using namespace review;

namespace {

constexpr char kJob[] = "wk-000301";
constexpr double kRefusedForS = 20;  // node_cut, from_state: 46.5 s at most
// A start that comes with the answer to a report sent this long after the user was told is not "in flight".
constexpr double kInFlightS = 0.25;

Site sahihi() {
    Site site;
    site.nodes = 3;
    site.zones = {"kilimani", "thika-road"};
    site.teams = {"timu-saini-00", "timu-saini-01"};
    site.teamCpus = 24;
    site.teamCpusMax = 150;
    site.types = {{"ngao-small", 8, 0, 32, 80, 0.3, 0.55, 0.13, 15, {"kilimani", "thika-road"}},
                  {"simba-gpu", 16, 2, 128, 100, 0.5, 4.51, 1.07, 30, {"kilimani", "thika-road"}}};
    site.capacity = {{"ngao-small kilimani", 18},
                     {"ngao-small thika-road", 11},
                     {"simba-gpu kilimani", 10},
                     {"simba-gpu thika-road", 8}};
    return site;
}

int run(const Arguments& arguments) {
    Rig rig(sahihi(), arguments.binary, arguments.record);
    // cheti-verify: an array of 290 tasks of 1 CPU and 2 GB.
    auto spec = makeJob(kJob, "cheti-verify", "timu-saini-00");
    spec.tasks = 290;
    spec.cpus = 1;
    spec.memoryGb = 2;
    spec.imageGb = 0.2;
    spec.estimatedRunTime = Seconds(5);
    auto& job = rig.add(spec, 2.5, 0.7);

    std::size_t late = 0;
    double latestS = 0;
    rig.onStartCommand = [&](Worker& worker, const Worker::Key& key, Time reportSent) {
        if (!job.cancelledAt) return;
        const double afterS = Seconds(reportSent - *job.cancelledAt).count();
        rig.note(worker.id + " was told to start " + key.job + "/" + std::to_string(key.task) +
                 " in the answer to a report that it sent " + std::to_string(afterS) +
                 " s after the user was told that the job is cancelled");
        if (afterS < kInFlightS) return;
        ++late;
        latestS = std::max(latestS, afterS);
    };

    rig.startControllers();
    rig.runUntil(1.5);
    rig.submit(kJob, 0);
    if (!rig.waitFor("the job is accepted", 20, [&] { return job.accepted; })) return 2;
    if (!rig.waitFor("tasks run and some are done", 40,
                     [&] { return job.done.size() >= 30 && rig.running(kJob) >= 16; }))
        return 2;
    const auto leader = rig.leader();
    if (!leader) return 2;
    const auto other = (*leader + 1) % rig.site.nodes;
    rig.note(rig.nodeName(*leader) + " leads");
    if (arguments.trouble) {
        rig.store[*leader]->outage = true;
        rig.note("trouble: the state service refuses " + rig.nodeName(*leader) + " alone");
    }
    const auto from = rig.elapsed();
    rig.cancel(kJob, other);
    if (!rig.waitFor("the cancellation is confirmed", 5, [&] { return job.cancelled; })) return 2;
    rig.runUntil(from + kRefusedForS);
    rig.store[*leader]->outage = false;
    if (arguments.trouble) rig.note("the trouble is over");
    rig.runFor(2);
    rig.note("starts after the confirmed cancellation, in-flight ones aside: " + std::to_string(late));
    if (late == 0) return rig.conclude(false, "no task was started after the confirmed cancellation");
    return rig.conclude(true, std::to_string(late) + " tasks of a cancelled job were started, the last with the "
                                                     "answer to a report sent " +
                                  std::to_string(latestS) + " s after the user was told");
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(readArguments(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << error.what() << std::endl;
        return 2;
    }
}
