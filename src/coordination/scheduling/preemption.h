#pragma once

// Making room for waiting jobs by stopping work that has to yield to them. Owns where its round over the
// waiting jobs goes on, and which candidates it looks at first; the room that it makes is kept for the job as
// a reservation in the fleet.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/instance_selection.h"
#include "coordination/scheduling/gang_capacity.h"
#include "coordination/scheduling/image_locality.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/preemption_plan.h"
#include "coordination/scheduling/scan_counter.h"
#include "coordination/scheduling/start_constraints.h"
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
    const StartConstraints& rules;
    ImageLocality& images;
    ZoneReservations& zoneReservations;
    TaskTerminator& terminator;
    ScanCounter& scans;
};

class Preemption {
  public:
    /// All that the context refers to has to outlive this.
    explicit Preemption(const PreemptionContext& context);

    /// Makes room for a few of the jobs that have waited for longer than their patience, production first.
    /// It ends when the budget of machines to look at is used up, and the next call goes on from there.
    void preemptForWaitingJobs(Time now);

  private:
    /// What a job finds on the machines that it may use.
    struct RoomSurvey {
        std::size_t coming = 0;                      // of its tasks have room without stopping more
        std::map<std::string, std::uint32_t> zones;  // its tasks per zone, with those that room is kept for
        std::vector<bookkeeping::Machine*> candidates;  // where stopping something would make room
    };

    bool isDue(const bookkeeping::Job& job, Time now) const;
    Seconds patienceOf(const bookkeeping::Job& job) const;

    int preemptFor(bookkeeping::Job& job, Time now);
    RoomSurvey surveyRoom(bookkeeping::Job& job, Time now);
    void surveyMachine(bookkeeping::Machine& machine, const bookkeeping::Job& job, Time now,
                       RoomSurvey& survey);
    std::vector<PreemptionPlan> plansOn(const std::vector<bookkeeping::Machine*>& candidates,
                                        const bookkeeping::Job& job, Time now);

    int preemptForGang(bookkeeping::Job& job, Time now);
    std::vector<PreemptionPlan> plansForGang(const bookkeeping::Job& job, const GangCapacity& room, Time now);

    std::optional<PreemptionPlan> planOn(bookkeeping::Machine& machine, const bookkeeping::Job& job,
                                         std::uint32_t tasks, Time now);
    void execute(const PreemptionPlan& plan, const bookkeeping::Job& job, Time until);
    Time keptUntil(const bookkeeping::Job& job, int heartbeats, Time now) const;

    const PreemptionContext context_;
    std::size_t nextJob_ = 0;        // among the waiting jobs, where the next round goes on
    std::size_t nextCandidate_ = 0;  // so that each round weighs other candidates
};

}  // namespace burlpoint::coordination
