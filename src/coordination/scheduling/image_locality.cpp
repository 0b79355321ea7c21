#include "coordination/scheduling/image_locality.h"

#include <algorithm>
#include <chrono>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using protocol::Policy;
using protocol::Settings;

namespace {

// How long a result is cached for a job. This is much shorter than the usual heartbeat interval, so that the
// result is not very stale, and long enough that the heartbeats of many machines share it.
constexpr std::chrono::milliseconds kCacheTime{250};
// A machine is expected to send a heartbeat soon unless its last one is older than this many heartbeat
// intervals.
constexpr double kMaxHeartbeatIntervals = 1.5;

}  // namespace

ImageLocality::ImageLocality(const Settings& settings, const Policy& policy, const Fleet& fleet,
                             const FetchPacing& pacing, const PlacementConstraints& constraints,
                             ScanCounter& scans)
    : settings_(settings),
      policy_(policy),
      fleet_(fleet),
      pacing_(pacing),
      constraints_(constraints),
      scans_(scans) {}

std::uint32_t ImageLocality::capacityWithImage(Job& job, Time now) {
    auto& run = *job.run;
    if (now < run.capacityWithImageExpiresAt) return run.capacityWithImage;
    run.capacityWithImageExpiresAt = now + kCacheTime;
    run.capacityWithImage = 0;
    const auto maxHeartbeatAge = toClockDuration(settings_.heartbeatInterval * kMaxHeartbeatIntervals);
    const auto need = bookkeeping::needOf(job.spec);
    for (const auto* machine : fleet_.machinesWithImage(job.image())) {
        scans_.add();
        if (!hasFreeCpus(*machine, need.cpus) || !isUsable(*machine, now)) continue;
        if (now - machine->lease.lastHeartbeat > maxHeartbeatAge) continue;
        if (!constraints_.mayStart(job, *machine, now)) continue;
        run.capacityWithImage += availableCapacity(*machine, job, now).fitCount(need);
        if (run.capacityWithImage >= run.waiting) break;
    }
    return run.capacityWithImage;
}

/// True if a fetch would make the job miss the wait objective of its class, and the objective is not missed
/// yet.
bool ImageLocality::fetchWouldMissObjective(const Job& job, Time now) const {
    const auto& objective = job.run->shortestWaitObjective;
    if (!objective || !policy_.preempt) return false;
    const Seconds waited = now - job.run->waitingSince;
    const bool fetchTakesTooLong = *objective < pacing_.expectedFetchTime() + settings_.heartbeatInterval;
    return fetchTakesTooLong && waited < *objective;
}

bool ImageLocality::waitsForImage(Job& job, Time now) {
    if (!fetchWouldMissObjective(job, now)) return false;
    auto& run = *job.run;
    if (now < run.shouldWaitForImageExpiresAt) return run.shouldWaitForImage;
    run.shouldWaitForImageExpiresAt = now + kCacheTime;
    const auto need = bookkeeping::needOf(job.spec);
    const auto& machines = fleet_.machinesWithImage(job.image());
    run.shouldWaitForImage = std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        scans_.add();
        if (!isUsable(*machine, now) || !constraints_.mayStart(job, *machine, now)) return false;
        return capacityWithPreemption(*machine, job, now).covers(need);
    });
    return run.shouldWaitForImage;
}

}  // namespace burlpoint::coordination
