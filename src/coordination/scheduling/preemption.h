#pragma once

// Preemption: frees capacity for waiting jobs by stopping tasks (victims) of lower precedence. Owns the
// positions at which the next round over the waiting jobs and the next pass over candidate machines start.
// The freed capacity is reserved for the job in the fleet. Used on the leader's thread.

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

/// The settings, state and components that preemption uses.
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
    /// Everything that the context refers to must outlive this object.
    explicit Preemption(const PreemptionContext& context);

    /// Runs one round: preempts tasks for the jobs that have waited long enough, production jobs first. The
    /// round ends after the last such job, or earlier when its budget of machine scans or preemptions is used
    /// up; the next round then continues from there.
    void preemptForWaitingJobs(Time now);

  private:
    /// The capacity for a job on the surveyed machines that it may use.
    struct CapacitySurvey {
        std::size_t expected = 0;  // tasks that will have capacity without further preemption
        std::map<std::string, std::uint32_t> tasksInZone;  // placed, or with capacity reserved by preemption
        std::vector<bookkeeping::Machine*> candidates;     // where preemption would free enough for a task
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
    std::size_t nextJob_ = 0;        // index in the waiting jobs at which the next round continues
    std::size_t nextCandidate_ = 0;  // rotates the candidates, so that each pass plans on other ones
};

}  // namespace burlpoint::coordination
