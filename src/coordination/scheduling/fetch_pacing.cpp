#include "coordination/scheduling/fetch_pacing.h"

#include <algorithm>
#include <chrono>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;

namespace {

// The mean fetch time moves by a tenth of each difference, so that it follows a change of the images within
// some tens of fetches and no single one moves it far.
constexpr double kFetchTimeWeight = 0.1;
// A zone counts for E[tr] while one of its machines was heard within so many report intervals.
constexpr double kZoneHeartbeatsMissed = 3;
// Seconds that a ts may exceed E[ts] by the rounding of the sums.
constexpr double kTimeSlack = 1e-9;

}  // namespace

FetchPacing::FetchPacing(const protocol::Settings& settings, const protocol::Policy& policy)
    : settings_(settings), policy_(policy) {}

void FetchPacing::admit(Job& job, const Fleet& fleet) const {
    if (job.run->admitted || machinesUp_ == 0) return;
    const auto& having = fleet.withImage(job.image());
    const auto upAndHaving = std::count_if(
        having.begin(), having.end(), [](const auto* m) { return m->sendsHeartbeats && m->acknowledged; });
    // A machine that came up since the last refresh counts among those that have the image only.
    const double share = std::min(1.0, static_cast<double>(upAndHaving) / static_cast<double>(machinesUp_));
    const double lacking = 1 - share;
    job.run->admitted = true;
    job.run->expectedPacedFetches = job.spec.tasks * lacking;
}

void FetchPacing::refresh(const std::vector<Job*>& waiting, const std::vector<const Machine*>& up,
                          const Fleet& fleet, Time now) {
    refreshImageWork(waiting, fleet);
    machinesUp_ = up.size();
    reportingZones_.clear();
    const auto heardWithin =
        toClockDuration(settings_.heartbeatInterval * kZoneHeartbeatsMissed);
    double sum = 0;
    for (const auto* machine : up) {
        sum += cachedTaskTime(*machine);
        // Only zones that heartbeat count: one that is cut off would raise the mean for all others.
        if (now - machine->lastHeartbeat < heardWithin) reportingZones_.insert(machine->zone);
    }
    meanCachedTaskTime_ = up.empty() ? 0 : sum / static_cast<double>(up.size());
}

/// Each image's waiting work is shared by the processors of all machines that have it.
void FetchPacing::refreshImageWork(const std::vector<Job*>& waiting, const Fleet& fleet) {
    imageWork_.clear();
    for (const auto* job : waiting) {
        const double estimate = std::max(job->spec.estimatedRunTime.count(), 0.0);
        imageWork_[job->image()] += job->run->waiting * job->spec.cpus * estimate;
    }
    for (auto& [image, work] : imageWork_) {
        double processors = 0;
        for (const auto* machine : fleet.withImage(image))
            if (machine->sendsHeartbeats && machine->typeInfo) processors += machine->typeInfo->cpus;
        work = processors > 0 ? work / processors : 0;
    }
}

bool FetchPacing::allows(const Job& job, const Machine& machine, Time now) const {
    return withinFetchShare(job) && hasSpareTime(machine) && zoneMayFetch(machine.zone, now);
}

/// m/M >= md/Md, without the divisions: the fetches are spread evenly over the job's starts. A job without
/// expected fetches (Md = 0) has nothing to spread.
bool FetchPacing::withinFetchShare(const Job& job) const {
    const auto& run = *job.run;
    const double allTasks = job.spec.tasks;                   // M
    const double expectedFetches = run.expectedPacedFetches;  // Md
    if (expectedFetches <= 0) return true;
    return run.launchedTasks * expectedFetches >= run.pacedFetches * allTasks;  // m * Md >= md * M
}

/// ts <= E[ts]: a machine with more cached work than the mean is left to that work.
bool FetchPacing::hasSpareTime(const Machine& machine) const {
    return cachedTaskTime(machine) <= meanCachedTaskTime_ + kTimeSlack;
}

/// ts: seconds that the work waiting for the machine's images would keep it busy.
double FetchPacing::cachedTaskTime(const Machine& machine) const {
    double seconds = 0;
    for (const auto& [image, gb] : machine.images) {
        const auto found = imageWork_.find(image);
        if (found != imageWork_.end()) seconds += found->second;
    }
    return seconds;
}

/// tr >= min(E[tr], threshold). A zone that never fetched has rested for ever.
bool FetchPacing::zoneMayFetch(const std::string& zone, Time now) const {
    const auto last = lastFetch_.find(zone);
    if (last == lastFetch_.end()) return true;
    const Seconds sinceFetch = now - last->second;  // tr
    return sinceFetch >= std::min(meanTimeSinceFetch(now), expectedFetchTime());
}

/// E[tr] over the zones that heartbeat and have fetched; 0 without any.
Seconds FetchPacing::meanTimeSinceFetch(Time now) const {
    Seconds sum{0};
    std::size_t count = 0;
    for (const auto& zone : reportingZones_) {
        const auto last = lastFetch_.find(zone);
        if (last == lastFetch_.end()) continue;
        sum += Seconds(now - last->second);
        ++count;
    }
    return count ? sum / static_cast<double>(count) : Seconds(0);
}

void FetchPacing::recordFetch(Job& job, const std::string& zone, Time now) {
    ++job.run->pacedFetches;
    lastFetch_[zone] = now;
}

void FetchPacing::recordFetchTime(Seconds took) {
    meanFetchTime_ =
        fetchTimesSeen_ == 0 ? took : meanFetchTime_ + (took - meanFetchTime_) * kFetchTimeWeight;
    ++fetchTimesSeen_;
}

Seconds FetchPacing::expectedFetchTime() const {
    return fetchTimesSeen_ ? meanFetchTime_ : policy_.fetchStart;
}

}  // namespace burlpoint::coordination
