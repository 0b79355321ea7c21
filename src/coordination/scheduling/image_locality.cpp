#include "coordination/scheduling/image_locality.h"

#include <algorithm>

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using protocol::Policy;
using protocol::Settings;

namespace {

constexpr std::chrono::milliseconds kLookupInterval{250};  // how long a look at the fleet serves a job
constexpr double kSoon = 1.5;                              // report intervals
constexpr double kSlack = 1e-6;                            // processors that a sum of decimals may be off by

bool hasFreeProcessors(const Machine& machine, double cpus) {
    return machine.typeInfo && machine.typeInfo->cpus - machine.used.cpus >= cpus - kSlack;
}

}  // namespace

ImageLocality::ImageLocality(const Settings& settings, const Policy& policy, const Fleet& fleet,
                             const FetchPacing& pacing, const PlacementConstraints& constraints, ScanCounter& scans)
    : settings_(settings),
      policy_(policy),
      fleet_(fleet),
      pacing_(pacing),
      constraints_(constraints),
      scans_(scans) {}

std::uint32_t ImageLocality::capacityWithImage(Job& job, Time now) {
    auto& run = *job.run;
    if (now < run.cachedRoomUntil) return run.roomWithImage;
    run.cachedRoomUntil = now + kLookupInterval;
    run.roomWithImage = 0;
    const auto soon = toClockDuration(settings_.heartbeatInterval * kSoon);
    const auto need = bookkeeping::needOf(job.spec);
    for (const auto* machine : fleet_.withImage(job.image())) {
        scans_.add();
        if (!hasFreeProcessors(*machine, need.cpus) || !usable(*machine, now)) continue;
        if (now - machine->lastHeartbeat > soon || !constraints_.mayStart(job, *machine, now)) continue;
        run.roomWithImage += availableCapacity(*machine, job, now).times(need);
        if (run.roomWithImage >= run.waiting) break;
    }
    return run.roomWithImage;
}

bool ImageLocality::aimAllowsNoFetch(const Job& job, Time now) const {
    const auto& aim = job.run->shortestWaitObjective;
    if (!aim || !policy_.preempt) return false;
    const Seconds waited = now - job.run->waitingSince;
    return *aim < pacing_.expectedFetchTime() + settings_.heartbeatInterval && waited < *aim;
}

bool ImageLocality::waitsForImage(Job& job, Time now) {
    if (!aimAllowsNoFetch(job, now)) return false;
    auto& run = *job.run;
    if (now < run.imageWaitUntil) return run.imageWait;
    run.imageWaitUntil = now + kLookupInterval;
    const auto need = bookkeeping::needOf(job.spec);
    const auto& machines = fleet_.withImage(job.image());
    run.imageWait = std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        scans_.add();
        return usable(*machine, now) && constraints_.mayStart(job, *machine, now) &&
               capacityWithPreemption(*machine, job, now).covers(need);
    });
    return run.imageWait;
}

}  // namespace burlpoint::coordination
