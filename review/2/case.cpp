// A job whose tasks failed on seven faulty machines never gets a machine again.

#include <exception>
#include <iostream>

#include "rig.h"

using namespace review;

namespace {

constexpr char kJob[] = "wk-000101";
constexpr double kTroubleFromS = 3, kTroubleUntilS = 18;  // machine_sick, for_s = 200 at most
constexpr double kEndS = 113;
constexpr int kFaultyMachines = 7;  // machine_sick, count = 7

Site windhoek() {
    Site site;
    site.nodes = 5;
    site.zones = {"katutura", "lafrenz", "eros-hill"};
    site.teams = {"claims-ops-00", "claims-ops-01"};
    site.reportS = 2;
    site.leaseS = 13;
    site.gangWaitS = 45;
    site.gangPeerS = 8;
    site.cancelS = 33;
    site.rps = 350;
    site.writeRps = 35;
    site.valueKb = 32;
    site.txnOps = 12;
    site.cloudRps = 12;
    site.listLagS = 10;
    site.coreShare = 0.136;
    site.memMb = 128;
    site.maxConnections = 1721;
    site.types = {{"dune-small", 8, 0, 16, 25, 0.2, 0.42, 0.19, 20, {"katutura", "eros-hill"}},
                  {"kalahari-wide", 64, 0, 512, 60, 0.3, 4.28, 1.92, 20, {"katutura", "lafrenz", "eros-hill"}}};
    // The cloud has as many machines as the site file says: it never refuses a request here.
    site.capacity = {{"dune-small katutura", 138},  {"dune-small eros-hill", 103},
                     {"kalahari-wide katutura", 7}, {"kalahari-wide lafrenz", 7},
                     {"kalahari-wide eros-hill", 5}};
    return site;
}

int run(const Arguments& arguments) {
    Rig rig(windhoek(), arguments.binary, arguments.record);
    // Machines that are up at the start of the day, as in the site file, of which seven are in eros-hill.
    const auto reportsFrom = Clock::now() + std::chrono::seconds(2);
    std::vector<std::shared_ptr<Worker>> inErosHill;
    for (int i = 0; i < kFaultyMachines; ++i)
        inErosHill.push_back(rig.cloud->addRunning("dune-small", "eros-hill", reportsFrom));
    for (int i = 0; i < 9; ++i) rig.cloud->addRunning("dune-small", "katutura", reportsFrom);
    rig.startControllers();

    // receipt-scan: 56 tasks of 1 CPU and 1.8 GB, bound to one zone.
    auto spec = makeJob(kJob, "receipt-scan", "claims-ops-00");
    spec.kind = burlpoint::protocol::JobKind::array;
    spec.priority = burlpoint::protocol::Priority::normal;
    spec.tasks = 56;
    spec.cpus = 1;
    spec.memoryGb = 1.8;
    spec.imageGb = 0.4;
    spec.zone = "eros-hill";
    spec.spot = true;
    spec.estimatedRunTime = Seconds(20);
    spec.deadline = Seconds(110);
    auto& job = rig.add(spec, 20, 2);

    rig.runUntil(kTroubleFromS);
    if (arguments.trouble) {
        for (const auto& machine : inErosHill) machine->faulty = true;
        rig.note("trouble: the machines in eros-hill fail every task that they start");
    }
    rig.runUntil(4);
    rig.submit(kJob, 0);
    if (!rig.waitFor("the job is accepted", 20, [&] { return job.accepted; })) return 2;
    if (!rig.waitFor("the job's tasks start", 30, [&] { return job.starts >= 8; })) return 2;
    rig.runUntil(kTroubleUntilS);
    for (const auto& machine : inErosHill) machine->faulty = false;
    const auto troubleOver = Clock::now();
    if (arguments.trouble) rig.note("the trouble is over: no machine is faulty any more");

    while (rig.elapsed() < kEndS && job.done.size() < spec.tasks) rig.runFor(0.5);
    const bool over = job.done.size() == spec.tasks;
    const bool startedAfterwards = job.lastStart && *job.lastStart > troubleOver;
    rig.note("job: " + std::to_string(job.done.size()) + " of " + std::to_string(spec.tasks) +
             " tasks done, bearing " + job.bearing + ", rental requests " +
             std::to_string(rig.cloud->rentalRequests) + ", machines released " +
             std::to_string(rig.cloud->machinesReleased));
    if (over) return rig.conclude(false, "the job ran");
    if (startedAfterwards || rig.onMachines(kJob) > 0)
        return rig.conclude(false, "the job is being run");
    const double waitedS = Seconds(Clock::now() - troubleOver).count();
    return rig.conclude(true, "an accepted job does not run: for the " +
                                  std::to_string(static_cast<int>(waitedS)) +
                                  " s since the trouble was over no task of it was started, and the cloud, "
                                  "which has room, was sent " +
                                  std::to_string(rig.cloud->rentalRequests) + " rental requests");
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
