#pragma once

// Test fixture with machines, stored jobs and the components that place tasks, connected as in the leader but
// without a leader.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/degraded_first_scheduler.h"
#include "coordination/scheduling/gang_planner.h"
#include "coordination/scheduling/job_activator.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/workers/attempt_completion.h"
#include "coordination/workers/heartbeat_reconciler.h"
#include "protocol/msgpack_codec.h"
#include "storage/records.h"

namespace burlpoint::tests {

/// Plain machines have eight processors, other machines 16 processors and two accelerators, in zones "a" and
/// "b". By default jobs have four tasks of two processors and belong to a team without quotas.
class PlacementFixture : public testing::Test {
  protected:
    using Job = bookkeeping::Job;
    using Machine = bookkeeping::Machine;
    using Priority = protocol::Priority;
    using JobKind = protocol::JobKind;

    static constexpr std::uint64_t kToken = 5;

    PlacementFixture() {
        settings.zones = {"a", "b"};
        settings.teams = {{"t", 0, 0, 0, 0}, {"guaranteed", 8, 0, 0, 0}};
        settings.heartbeatInterval = Seconds(2);
        settings.gangWaitTimeout = Seconds(40);
        types["plain"] = {"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"a", "b"}};
        types["gpu"] = {"gpu", 16, 2, 64, 50, 1, 8, 3, Seconds(30), {"a", "b"}};
    }

    /// Adds a usable machine.
    Machine& machine(const std::string& id, const std::string& zone = "a",
                     const std::string& type = "plain") {
        auto& added = fleet.add(id, now);
        added.type = type;
        added.typeInfo = &types.at(type);
        added.zone = zone;
        added.agent.acknowledged = true;
        added.lease.active = true;
        added.agent.incarnation = 1;
        added.agent.sequence = 1;
        added.lease.lastHeartbeat = now;
        fleet.setReconciled(added, true);
        fleet.setRegistration(added, bookkeeping::RegistrationState::stored);
        return added;
    }
    protocol::JobSpec spec(const std::string& id, JobKind kind = JobKind::array) const {
        protocol::JobSpec jobSpec;
        jobSpec.id = id;
        jobSpec.jobClass = jobSpec.image = "class";
        jobSpec.team = "t";
        jobSpec.kind = kind;
        jobSpec.tasks = 4;
        jobSpec.cpus = 2;
        jobSpec.estimatedRunTime = Seconds(10);
        if (kind == JobKind::service) jobSpec.priority = Priority::production;
        return jobSpec;
    }
    /// Adds the job to the replica and begins its run.
    Job& accept(const protocol::JobSpec& accepted) {
        const storage::JobRecord record{accepted, storage::TerminalState::none, 0, 0, accepted.tasks};
        const auto body = storage::encodeJob(record);
        const auto packed = protocol::unpackBody(body);
        std::vector<bookkeeping::ReplicaChange> changes;
        EXPECT_TRUE(replica.apply({storage::keys::job(accepted.id), &packed.get(), ++revision}, changes));
        auto& job = *replica.find(accepted.id);
        activator.begin(job, bookkeeping::JobOrigin::accepted, now);
        return job;
    }
    /// Refreshes the job queue and the pacing, and admits all open jobs.
    void refresh() {
        now += std::chrono::milliseconds(100);
        jobQueue.markStale();
        ASSERT_TRUE(jobQueue.refresh(replica, fleet, wallClock, now));
        std::vector<const Machine*> up;
        for (const auto& [id, each] : fleet.machines()) up.push_back(each.get());
        pacing.refresh(jobQueue.waiting(), up, fleet, now);
        for (auto* job : jobQueue.openJobs()) pacing.admit(*job, fleet);
    }
    void addCachedImage(Machine& holder, const Job& job) {
        fleet.recordImageUse(holder, job.spec.image, job.spec.imageGb, holder.typeInfo->cacheGb);
    }
    bookkeeping::Placement& place(Machine& host, Job& job, std::uint32_t task,
                                  bookkeeping::PlacementState state = bookkeeping::PlacementState::running) {
        return fleet.place(host, job, task, attempts.next(), state, now);
    }
    /// Schedules one heartbeat of the machine and returns the tasks that its response starts, as "job/task".
    std::vector<std::string> schedule(Machine& machine) {
        refresh();
        std::vector<protocol::WorkerCommand> commands;
        scheduler.schedule(machine, commands, now);
        std::vector<std::string> starts;
        starts.reserve(commands.size());
        for (const auto& each : commands)
            starts.push_back(each.attempt.job + "/" + std::to_string(each.attempt.task));
        return starts;
    }
    static std::size_t count(const Machine& machine, const Job& job) {
        std::size_t found = 0;
        for (const auto& [key, placement] : machine.placements) found += key.job == &job;
        return found;
    }
    static std::size_t countStopping(const Machine& machine) {
        std::size_t found = 0;
        for (const auto& [key, placement] : machine.placements) found += placement.stopping;
        return found;
    }

    protocol::Settings settings;
    protocol::Policy policy;
    Time now{std::chrono::seconds(1000)};
    WallClock wallClock{now, 0};
    std::uint64_t revision = 10;
    bookkeeping::StateReplica replica;
    bookkeeping::Fleet fleet;
    bookkeeping::MachineTypes types;
    coordination::AttemptIdGenerator attempts{kToken};
    coordination::ScanCounter scans;
    coordination::MachineRegistry registry{replica, fleet};
    coordination::StateWriter writer{settings, replica, fleet, registry, types, wallClock, now};
    coordination::FetchPacing pacing{settings, policy};
    coordination::JobQueue jobQueue{policy};
    coordination::JobActivator activator{settings, wallClock, jobQueue, writer};
    coordination::ZoneReservations zones{policy};
    coordination::CapacityErrors capacityErrors;
    coordination::AcceleratorPolicy accelerators{types, capacityErrors};
    coordination::PlacementConstraints constraints{accelerators, zones};
    coordination::ImageLocality images{settings, policy, fleet, pacing, constraints, scans};
    coordination::TaskTerminator terminator{settings, fleet, jobQueue};
    coordination::GangPlanner gangPlanner{settings, fleet, types, constraints, jobQueue, zones, attempts};
    coordination::DegradedFirstScheduler scheduler{
        {settings, fleet, types, jobQueue, pacing, constraints, images, attempts}};
    coordination::Preemption preemption{
        {settings, fleet, types, jobQueue, constraints, images, zones, terminator, scans}};
    coordination::AttemptCompletion attemptCompletion{fleet, gangPlanner, jobQueue, terminator};
    coordination::HeartbeatReconciler reconciler{
        {kToken, replica, fleet, jobQueue, activator, writer, pacing, terminator, attemptCompletion}};
};

}  // namespace burlpoint::tests
