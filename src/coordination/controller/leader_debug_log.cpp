#include "coordination/controller/leader_debug_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "bookkeeping/machine_status.h"

namespace burlpoint::coordination {

namespace {

void logMachine(const bookkeeping::Machine& machine, Time now) {
    spdlog::debug(
        "machine state machine={} type={} zone={} spot={} sends_heartbeats={} registration={} tasks={} "
        "cpus={} gpus={} memory_gb={} images={} leaving={} reserved={}",
        machine.id, machine.type, machine.zone, machine.spot, machine.lease.active,
        static_cast<int>(machine.registry.state), machine.placements.size(), machine.use.total.cpus,
        machine.use.total.gpus, machine.use.total.memoryGb, machine.images.size(), isLeaving(machine),
        machine.reservation.isActive(now));
}

void logWaitingJob(const bookkeeping::Job& job, Time now) {
    spdlog::debug(
        "job waiting job={} class={} rank={} waiting={} tasks={} possible={} waiting_s={:.1f} "
        "failed_machines={} backoff_s={:.1f}",
        job.spec.id, job.spec.jobClass, static_cast<int>(rankOf(job)), job.run->waiting, job.spec.tasks,
        job.run->placedTotal, Seconds(now - job.run->waitingSince).count(), job.run->failures.count(now),
        std::max(Seconds(job.run->backoffUntil - now).count(), 0.0));
}

}  // namespace

void logLeaderState(const bookkeeping::Fleet& fleet, const JobQueue& jobQueue,
                    const CapacityErrors& capacityErrors, Time now) {
    for (const auto& [id, machine] : fleet.machines()) logMachine(*machine, now);
    for (const auto* job : jobQueue.waiting()) logWaitingJob(*job, now);
    for (const auto& offering : capacityErrors.unavailableNow(now))
        spdlog::debug("capacity error active type={} zone={} spot={}", offering.type, offering.zone,
                      offering.spot);
}

}  // namespace burlpoint::coordination
