#pragma once

// Preemption: gives waiting jobs capacity by stopping tasks (victims) that have to yield to them. Owns where
// its next round over the waiting jobs starts, and which candidate machines it looks at first. The freed
// capacity is reserved for the job in the fleet. Used on the leader's thread.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/gang_capacity.h"
#include "coordination/scheduling/image_locality.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/placement_constraints.h"
#include "coordination/scheduling/preemption_plan.h"
#include "coordination/scheduling/scan_counter.h"
#include "coordination/scheduling/task_terminator.h"
#include "coordination/scheduling/zone_reservations.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// What preemption looks at and acts on.
struct PreemptionContext {
    const protocol::Settings& settings;
    bookkeeping::Fleet& fleet;
    const bookkeeping::MachineTypes& types;
    const JobQueue& jobQueue;
    const PlacementConstraints& constraints;
    ImageLocality& images;
    ZoneReservations& zoneReservations;
    TaskTerminator& terminator;
    ScanCounter& scans;
};

class Preemption {
  public:
    /// All that the context refers to has to outlive this.
    explicit Preemption(const PreemptionContext& context);

    /// One round: preempts tasks for a few of the jobs that have waited long enough, production jobs first.
    /// It ends when the budget of machines to look at is used up, and the next round goes on from there.
    void preemptForWaitingJobs(Time now);

  private:
    /// The capacity for a job on the machines that it may use.
    struct CapacitySurvey {
        std::size_t expected = 0;  // tasks that have capacity without further preemption
        std::map<std::string, std::uint32_t> tasksInZone;  // placed, or with capacity reserved by preemption
        std::vector<bookkeeping::Machine*> candidates;     // where preemption would give capacity for a task
    };

    std::uint64_t scanBudget() const;
    bool isDue(const bookkeeping::Job& job, Time now) const;
    Seconds maxWaitBeforePreemption(const bookkeeping::Job& job) const;

    std::size_t preemptForTasks(bookkeeping::Job& job, Time now);
    CapacitySurvey surveyCapacity(bookkeeping::Job& job, Time now);
    void surveyMachine(bookkeeping::Machine& machine, const bookkeeping::Job& job, Time now,
                       CapacitySurvey& survey);
    std::vector<PreemptionPlan> plansOn(const std::vector<bookkeeping::Machine*>& candidates,
                                        const bookkeeping::Job& job, Time now);

    bool preemptForGang(bookkeeping::Job& job, Time now);
    std::vector<PreemptionPlan> plansForGang(const bookkeeping::Job& job, const GangCapacity& capacity,
                                             Time now);

    std::optional<PreemptionPlan> planOn(bookkeeping::Machine& machine, const bookkeeping::Job& job,
                                         std::uint32_t tasks, Time now);
    void execute(const PreemptionPlan& plan, const bookkeeping::Job& job, Time reservedUntil);
    Time reservationEnd(const bookkeeping::Job& job, int heartbeatIntervals, Time now) const;

    const PreemptionContext context_;
    std::size_t nextJob_ = 0;        // index among the waiting jobs at which the next round goes on
    std::size_t nextCandidate_ = 0;  // so that each round plans on other candidates
};

}  // namespace burlpoint::coordination
