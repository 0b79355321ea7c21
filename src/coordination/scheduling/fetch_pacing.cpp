#include "coordination/scheduling/fetch_pacing.h"

#include <algorithm>
#include <chrono>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;

namespace {

// Weight of the newest fetch in the exponential moving average of the fetch time. With 0.1 the average
// follows a change of the images within some tens of fetches, and no single fetch moves it far.
constexpr double kFetchTimeWeight = 0.1;
// A zone counts for E[tr] if one of its machines has sent a heartbeat within this many heartbeat intervals.
constexpr double kZoneHeartbeatIntervals = 3;
// Tolerance in seconds when ts is compared with E[ts], for rounding of the sums.
constexpr double kTimeTolerance = 1e-9;

}  // namespace

FetchPacing::FetchPacing(const protocol::Settings& settings, const protocol::Policy& policy)
    : settings_(settings), policy_(policy) {}

void FetchPacing::admit(Job& job, const Fleet& fleet) const {
    if (job.run->admitted || machinesUp_ == 0) return;
    const auto& machinesWithImage = fleet.machinesWithImage(job.image());
    const auto upWithImage = std::count_if(
        machinesWithImage.begin(), machinesWithImage.end(),
        [](const auto* machine) { return machine->lease.active && machine->agent.acknowledged; });
    // The ratio is limited to 1, because machines that came up since the last refresh are in the first count
    // only.
    const double share = std::min(1.0, static_cast<double>(upWithImage) / static_cast<double>(machinesUp_));
    job.run->admitted = true;
    job.run->expectedPacedFetches = job.spec.tasks * (1 - share);  // Md
}

void FetchPacing::refresh(const std::vector<Job*>& waiting, const std::vector<const Machine*>& up,
                          const Fleet& fleet, Time now) {
    refreshImageWork(waiting, fleet);
    machinesUp_ = up.size();
    zonesWithHeartbeats_.clear();
    const auto recent = toClockDuration(settings_.heartbeatInterval * kZoneHeartbeatIntervals);
    double sum = 0;
    for (const auto* machine : up) {
        sum += cachedTaskTime(*machine);
        // Zones without recent heartbeats do not count: a partitioned zone, where no fetch can start, would
        // raise E[tr] and so delay fetches in all others.
        if (now - machine->lease.lastHeartbeat < recent) zonesWithHeartbeats_.insert(machine->zone);
    }
    meanCachedTaskTime_ = up.empty() ? 0 : sum / static_cast<double>(up.size());
}

/// Assumes that the waiting tasks of an image are shared by the processors of all machines that have it.
void FetchPacing::refreshImageWork(const std::vector<Job*>& waiting, const Fleet& fleet) {
    imageWork_.clear();
    for (const auto* job : waiting) {
        const double estimate = std::max(job->spec.estimatedRunTime.count(), 0.0);
        imageWork_[job->image()] += job->run->waiting * job->spec.cpus * estimate;
    }
    for (auto& [image, work] : imageWork_) {
        double processors = 0;
        for (const auto* machine : fleet.machinesWithImage(image))
            if (machine->lease.active && machine->typeInfo) processors += machine->typeInfo->cpus;
        work = processors > 0 ? work / processors : 0;
    }
}

bool FetchPacing::allows(const Job& job, const Machine& machine, Time now) const {
    return withinFetchShare(job) && cachedWorkWithinMean(machine) && zoneMayFetch(machine.zone, now);
}

/// True if m/M >= md/Md, computed without divisions. This spreads the degraded tasks evenly over the job's
/// launches. Always true for a job without expected degraded tasks (Md = 0).
bool FetchPacing::withinFetchShare(const Job& job) const {
    const auto& run = *job.run;
    const double tasks = job.spec.tasks;                      // M
    const double expectedFetches = run.expectedPacedFetches;  // Md
    if (expectedFetches <= 0) return true;
    return run.launchedTasks * expectedFetches >= run.pacedFetches * tasks;  // m * Md >= md * M
}

/// True if ts <= E[ts] (the paper's ASSIGNTOSLAVE). A machine with more cached work than the mean is kept for
/// that work.
bool FetchPacing::cachedWorkWithinMean(const Machine& machine) const {
    return cachedTaskTime(machine) <= meanCachedTaskTime_ + kTimeTolerance;
}

/// The machine's ts, in seconds.
double FetchPacing::cachedTaskTime(const Machine& machine) const {
    double seconds = 0;
    for (const auto& [image, gb] : machine.images) {
        const auto found = imageWork_.find(image);
        if (found != imageWork_.end()) seconds += found->second;
    }
    return seconds;
}

/// True if tr >= min(E[tr], threshold) (the paper's ASSIGNTORACK), or if the zone has never fetched.
bool FetchPacing::zoneMayFetch(const std::string& zone, Time now) const {
    const auto last = lastFetch_.find(zone);
    if (last == lastFetch_.end()) return true;
    const Seconds sinceFetch = now - last->second;  // tr
    return sinceFetch >= std::min(meanTimeSinceFetch(now), expectedFetchTime());
}

/// E[tr] over the zones that have fetched and that send heartbeats; 0 if there are none.
Seconds FetchPacing::meanTimeSinceFetch(Time now) const {
    Seconds sum{0};
    std::size_t count = 0;
    for (const auto& zone : zonesWithHeartbeats_) {
        const auto last = lastFetch_.find(zone);
        if (last == lastFetch_.end()) continue;
        sum += Seconds(now - last->second);
        ++count;
    }
    return count > 0 ? sum / static_cast<double>(count) : Seconds(0);
}

void FetchPacing::recordFetch(Job& job, const std::string& zone, Time now) {
    ++job.run->pacedFetches;
    lastFetch_[zone] = now;
}

void FetchPacing::recordFetchTime(Seconds took) {
    const bool first = recordedFetchTimes_ == 0;
    meanFetchTime_ = first ? took : meanFetchTime_ + (took - meanFetchTime_) * kFetchTimeWeight;
    ++recordedFetchTimes_;
}

Seconds FetchPacing::expectedFetchTime() const {
    return recordedFetchTimes_ > 0 ? meanFetchTime_ : policy_.initialFetchEstimate;
}

}  // namespace burlpoint::coordination
