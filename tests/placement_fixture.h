#pragma once

// Machines, stored jobs and the modules that place tasks, wired as the leader wires them, without a leader.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "coordination/degraded_first_scheduler.h"
#include "coordination/gang_planner.h"
#include "coordination/job_runs.h"
#include "coordination/placement_ends.h"
#include "coordination/preemption.h"
#include "coordination/report_reconciler.h"
#include "storage/records.h"

namespace burlpoint::tests {

/// Plain machines of eight processors and machines with two accelerators, in zones "a" and "b". Jobs have
/// four tasks of two processors, of one team without limits, unless a test says otherwise.
class PlacementFixture : public testing::Test {
  protected:
    using Job = bookkeeping::Job;
    using Machine = bookkeeping::Machine;
    using Priority = protocol::Priority;
    using Kind = protocol::Kind;

    static constexpr std::uint64_t kToken = 5;

    PlacementFixture() {
        settings.zones = {"a", "b"};
        settings.teams = {{"t", 0, 0, 0, 0}, {"guaranteed", 8, 0, 0, 0}};
        settings.report = protocol::Seconds(2);
        settings.gangWait = protocol::Seconds(40);
        types["plain"] = {"plain", 8, 0, 32, 50, 1, 1, 0.3, protocol::Seconds(10), {"a", "b"}};
        types["gpu"] = {"gpu", 16, 2, 64, 50, 1, 8, 3, protocol::Seconds(30), {"a", "b"}};
    }

    /// A machine that may be given tasks.
    Machine& machine(const std::string& id, const std::string& zone = "a",
                     const std::string& type = "plain") {
        auto& added = fleet.add(id, now);
        added.type = type;
        added.kind = &types.at(type);
        added.zone = zone;
        added.acknowledged = true;
        added.reports = true;
        added.session = 1;
        added.sequence = 1;
        added.lastReport = now;
        fleet.setReconciled(added, true);
        fleet.setRoster(added, bookkeeping::RosterState::stored);
        return added;
    }
    protocol::JobSpec spec(const std::string& id, Kind kind = Kind::array) const {
        protocol::JobSpec made;
        made.id = id;
        made.jobClass = made.image = "class";
        made.team = "t";
        made.kind = kind;
        made.tasks = 4;
        made.cpus = 2;
        made.estimate = protocol::Seconds(10);
        if (kind == Kind::service) made.priority = Priority::production;
        return made;
    }
    /// Stores the job and begins its run.
    Job& accept(const protocol::JobSpec& accepted) {
        const storage::JobRecord record{accepted, storage::Final::open, 0, 0, accepted.tasks};
        const auto body = storage::encodeJob(record);
        const auto packed = protocol::unpackBody(body);
        std::vector<bookkeeping::Change> changes;
        EXPECT_TRUE(replica.apply({storage::keys::job(accepted.id), &packed.get(), ++revision}, changes));
        auto& job = *replica.find(accepted.id);
        runs.begin(job, false, now);
        return job;
    }
    /// Brings the order of jobs and the pacing up to date.
    void refresh() {
        now += std::chrono::milliseconds(100);
        order.markStale();
        ASSERT_TRUE(order.refresh(replica, fleet, dayClock, now));
        std::vector<const Machine*> up;
        for (const auto& [id, each] : fleet.machines()) up.push_back(each.get());
        pacing.refresh(order.waiting(), up, fleet, now);
        for (auto* job : order.open()) pacing.admit(*job, fleet);
    }
    void giveImage(Machine& holder, const Job& job) {
        fleet.useImage(holder, job.spec.image, job.spec.imageGb, holder.kind->cacheGb);
    }
    bookkeeping::Placement& place(Machine& on, Job& job, std::uint32_t task,
                                  bookkeeping::PlacementState state = bookkeeping::PlacementState::running) {
        return fleet.place(on, job, task, attempts.next(), state, now);
    }
    /// The tasks that the machine is told to start, as "job/task".
    std::vector<std::string> schedule(Machine& reporting) {
        refresh();
        std::vector<protocol::Order> orders;
        scheduler.schedule(reporting, orders, now);
        std::vector<std::string> starts;
        starts.reserve(orders.size());
        for (const auto& each : orders)
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
    transport::Time now{std::chrono::seconds(1000)};
    coordination::DayClock dayClock{now, 0};
    std::uint64_t revision = 10;
    bookkeeping::StateReplica replica;
    bookkeeping::Fleet fleet;
    coordination::MachineTypes types;
    coordination::AttemptNumbers attempts{kToken};
    coordination::LookupMeter meter;
    coordination::Roster roster{replica, fleet};
    coordination::StateWriter writer{settings, replica, fleet, roster, types, dayClock, now};
    coordination::FetchPacing pacing{settings, policy};
    coordination::JobOrder order{policy};
    coordination::JobRuns runs{settings, dayClock, order, writer};
    coordination::ZoneReservations zones{policy};
    coordination::RentalRefusals refusals;
    coordination::AcceleratorPolicy accelerators{types, refusals};
    coordination::StartRules rules{accelerators, zones};
    coordination::CachedImageLookup images{settings, policy, fleet, pacing, rules, meter};
    coordination::TaskStopper stopper{settings, fleet, order};
    coordination::GangPlanner gangs{settings, fleet, types, rules, order, zones, attempts};
    coordination::DegradedFirstScheduler scheduler{
        {settings, fleet, types, order, pacing, rules, images, attempts}};
    coordination::Preemption preemption{
        {settings, fleet, types, order, rules, images, zones, stopper, meter}};
    coordination::PlacementEnds ends{fleet, gangs, order, stopper};
    coordination::ReportReconciler reconciler{
        {kToken, replica, fleet, order, runs, writer, pacing, stopper, ends}};
};

}  // namespace burlpoint::tests
