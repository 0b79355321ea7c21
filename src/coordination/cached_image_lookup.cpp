#include "coordination/cached_image_lookup.h"

#include <algorithm>

#include "coordination/placement_rules.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using protocol::Policy;
using protocol::Seconds;
using protocol::Settings;
using transport::Clock;
using transport::Time;

namespace {

constexpr std::chrono::milliseconds kLookupInterval{250};  // how long a look at the fleet serves a job
constexpr double kSoon = 1.5;                              // report intervals
constexpr double kSlack = 1e-6;                            // processors that a sum of decimals may be off by

bool hasFreeProcessors(const Machine& machine, double cpus) {
    return machine.kind && machine.kind->cpus - machine.used.cpus >= cpus - kSlack;
}

}  // namespace

CachedImageLookup::CachedImageLookup(const Settings& settings, const Policy& policy, const Fleet& fleet,
                                     const FetchPacing& pacing, const StartRules& rules, LookupMeter& meter)
    : settings_(settings), policy_(policy), fleet_(fleet), pacing_(pacing), rules_(rules), meter_(meter) {}

std::uint32_t CachedImageLookup::roomWithImage(Job& job, Time now) {
    auto& run = *job.run;
    if (now < run.cachedRoomUntil) return run.roomWithImage;
    run.cachedRoomUntil = now + kLookupInterval;
    run.roomWithImage = 0;
    const auto soon = std::chrono::duration_cast<Clock::duration>(settings_.report * kSoon);
    const auto need = bookkeeping::needOf(job.spec);
    for (const auto* machine : fleet_.withImage(job.image())) {
        meter_.add();
        if (!hasFreeProcessors(*machine, need.cpus) || !usable(*machine, now)) continue;
        if (now - machine->lastReport > soon || !rules_.mayStart(job, *machine, now)) continue;
        run.roomWithImage += availableRoom(*machine, job, now).times(need);
        if (run.roomWithImage >= run.waiting) break;
    }
    return run.roomWithImage;
}

bool CachedImageLookup::aimAllowsNoFetch(const Job& job, Time now) const {
    const auto& aim = job.run->tightWait;
    if (!aim || !policy_.preempt) return false;
    const Seconds waited = now - job.run->waitingSince;
    return *aim < pacing_.expectedFetchTime() + settings_.report && waited < *aim;
}

bool CachedImageLookup::waitsForImage(Job& job, Time now) {
    if (!aimAllowsNoFetch(job, now)) return false;
    auto& run = *job.run;
    if (now < run.imageWaitUntil) return run.imageWait;
    run.imageWaitUntil = now + kLookupInterval;
    const auto need = bookkeeping::needOf(job.spec);
    const auto& machines = fleet_.withImage(job.image());
    run.imageWait = std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        meter_.add();
        return usable(*machine, now) && rules_.mayStart(job, *machine, now) &&
               maxRoom(*machine, job, now).covers(need);
    });
    return run.imageWait;
}

}  // namespace burlpoint::coordination
