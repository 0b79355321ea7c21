// A gang that was planned on a machine which then counts as faulty is never started, beside free machines.

#include <exception>
#include <iostream>

#include "rig.h"

using namespace review;

namespace {

constexpr char kFirst[] = "wk-000201", kSecond[] = "wk-000202", kGang[] = "wk-000203";
constexpr double kFaultyForS = 6;   // machine_sick, for_s: 75 s at most
constexpr double kLongestWaitS = 90;
constexpr double kEndS = 117;

Site sahihi() {
    Site site;
    site.nodes = 5;
    site.zones = {"kilimani", "thika-road"};
    site.teams = {"timu-saini-00", "timu-saini-01"};
    site.teamCpus = 300;
    site.teamCpusMax = 4000;
    site.types = {{"ngao-small", 8, 0, 32, 80, 0.3, 0.55, 0.13, 15, {"kilimani", "thika-road"}},
                  {"simba-gpu", 16, 2, 128, 100, 0.5, 4.51, 1.07, 30, {"kilimani", "thika-road"}}};
    site.capacity = {{"ngao-small kilimani", 18},
                     {"ngao-small thika-road", 11},
                     {"simba-gpu kilimani", 10},
                     {"simba-gpu thika-road", 8}};
    return site;
}

/// muhuri-live: a service of one task of 2 CPUs and 5.5 GB.
burlpoint::protocol::JobSpec service(const std::string& id) {
    auto spec = makeJob(id, "muhuri-live", "timu-saini-00");
    spec.kind = burlpoint::protocol::JobKind::service;
    spec.priority = burlpoint::protocol::Priority::production;
    spec.tasks = 1;
    spec.cpus = 2;
    spec.memoryGb = 5.5;
    spec.imageGb = 0.2;
    spec.spreadZones = true;
    return spec;
}

int run(const Arguments& arguments) {
    Rig rig(sahihi(), arguments.binary, arguments.record);
    rig.add(service(kFirst), 0, 0.7);
    rig.add(service(kSecond), 0, 0.7);
    // ulinganisho-match: a gang of two tasks of 2 CPUs and 6.4 GB, in one zone.
    auto spec = makeJob(kGang, "ulinganisho-match", "timu-saini-01");
    spec.kind = burlpoint::protocol::JobKind::gang;
    spec.priority = burlpoint::protocol::Priority::normal;
    spec.tasks = 2;
    spec.cpus = 2;
    spec.memoryGb = 6.4;
    spec.imageGb = 0.3;
    spec.singleZone = true;
    spec.estimatedRunTime = Seconds(20);
    spec.checkpointInterval = Seconds(20);
    spec.saveTime = Seconds(4);
    auto& gang = rig.add(spec, 20, 1);

    rig.startControllers();
    rig.runUntil(1.5);
    rig.submit(kFirst, 0);
    rig.submit(kSecond, 1);
    std::shared_ptr<Worker> machine;
    const auto bothOn = [&] {
        for (const auto& [id, rented] : rig.cloud->machines)
            if (rented.worker && rented.worker->holds(kFirst) && rented.worker->holds(kSecond))
                machine = rented.worker;
        return machine != nullptr;
    };
    if (!rig.waitFor("both services are on one machine", 20, bothOn)) return 2;
    if (arguments.trouble) {
        // The tasks, whose image is still being fetched, start on a faulty machine.
        machine->faulty = true;
        machine->failAt = Time::max();
        rig.note("trouble: " + machine->id + " fails every task that it starts");
    }
    const auto faultyFrom = rig.elapsed();
    // The gang is submitted right after a report of the machine that shows both tasks running, so that the
    // machine's next report is the one that shows them failed.
    if (!rig.waitFor("the machine has reported both tasks running", 10, [&] {
            return rig.running(kFirst) + rig.running(kSecond) == 2 && machine->reportHasRunning;
        }))
        return 2;
    rig.submit(kGang, 2);
    if (!rig.waitFor("the gang is accepted", 1, [&] { return gang.accepted; })) return 2;
    rig.runFor(0.6);
    if (gang.starts > 0 && arguments.trouble) return 2;  // the report came in between
    machine->failAt = Clock::now();  // both tasks fail
    rig.runUntil(faultyFrom + kFaultyForS);
    machine->faulty = false;
    machine->failAt.reset();
    const auto troubleOver = Clock::now();
    if (arguments.trouble) rig.note("the trouble is over: no machine is faulty any more");

    // How long, on end, the gang waits while a machine that it may use has room for all of it.
    std::optional<Time> waitsSince;
    double longestS = 0;
    while (rig.elapsed() < kEndS && gang.starts == 0) {
        rig.runFor(0.1);
        bool room = false;
        for (const auto& [id, rented] : rig.cloud->machines)
            room |= rented.worker && rented.worker != machine && rented.worker->helm > 0 &&
                    rented.worker->freeCores() >= spec.cpus * spec.tasks;
        const auto now = Clock::now();
        if (!room) waitsSince.reset();
        if (room && !waitsSince) {
            waitsSince = now;
            rig.note("from now on a machine other than " + machine->id + " has room for the gang");
        }
        if (waitsSince) longestS = std::max(longestS, Seconds(now - std::max(*waitsSince, troubleOver)).count());
        if (longestS > kLongestWaitS) break;
    }
    rig.note("gang: " + std::to_string(gang.starts) + " starts, bearing " + gang.bearing);
    if (gang.starts > 0) return rig.conclude(false, "the gang was started");
    if (longestS <= kLongestWaitS) {
        rig.conclude(false, "the gang has not waited for 90 s beside room");
        return 2;
    }
    return rig.conclude(true, "with the trouble over, an accepted gang waited for 90 s while a machine that fits "
                              "had room for it and its team was under its limit");
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
