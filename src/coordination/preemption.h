#pragma once

// Making room for waiting jobs by stopping work that has to yield to them. Owns where its round over the
// waiting jobs goes on, and which candidates it looks at first; the room that it makes is kept for the job as
// a reservation in the fleet.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bookkeeping/fleet.h"
#include "coordination/cached_image_lookup.h"
#include "coordination/gang_room.h"
#include "coordination/job_order.h"
#include "coordination/lookup_meter.h"
#include "coordination/preemption_plan.h"
#include "coordination/rental_rules.h"
#include "coordination/start_rules.h"
#include "coordination/task_stopper.h"
#include "coordination/zone_reservations.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// What preemption looks at and acts on.
struct PreemptionContext {
    const protocol::Settings& settings;
    bookkeeping::Fleet& fleet;
    const MachineTypes& types;
    const JobOrder& order;
    const StartRules& rules;
    CachedImageLookup& images;
    ZoneReservations& zoneReservations;
    TaskStopper& stopper;
    LookupMeter& meter;
};

class Preemption {
  public:
    /// All that the context refers to has to outlive this.
    explicit Preemption(const PreemptionContext& context);

    /// Makes room for a few of the jobs that have waited for longer than their patience, production first.
    /// It ends when the budget of machines to look at is used up, and the next call goes on from there.
    void makeRoom(transport::Time now);

  private:
    /// What a job finds on the machines that it may use.
    struct RoomSurvey {
        std::size_t coming = 0;                      // of its tasks have room without stopping more
        std::map<std::string, std::uint32_t> zones;  // its tasks per zone, with those that room is kept for
        std::vector<bookkeeping::Machine*> candidates;  // where stopping something would make room
    };

    bool isDue(const bookkeeping::Job& job, transport::Time now) const;
    protocol::Seconds patienceOf(const bookkeeping::Job& job) const;

    int makeRoomFor(bookkeeping::Job& job, transport::Time now);
    RoomSurvey surveyRoom(bookkeeping::Job& job, transport::Time now);
    void surveyMachine(bookkeeping::Machine& machine, const bookkeeping::Job& job, transport::Time now,
                       RoomSurvey& survey);
    std::vector<PreemptionPlan> plansOn(const std::vector<bookkeeping::Machine*>& candidates,
                                        const bookkeeping::Job& job, transport::Time now);

    int makeRoomForGang(bookkeeping::Job& job, transport::Time now);
    std::vector<PreemptionPlan> plansForGang(const bookkeeping::Job& job, const GangRoom& room,
                                             transport::Time now);

    std::optional<PreemptionPlan> planOn(bookkeeping::Machine& machine, const bookkeeping::Job& job,
                                         std::uint32_t tasks, transport::Time now);
    void execute(const PreemptionPlan& plan, const bookkeeping::Job& job, transport::Time until);
    transport::Time keptUntil(const bookkeeping::Job& job, int reports, transport::Time now) const;

    const PreemptionContext context_;
    std::size_t nextJob_ = 0;        // among the waiting jobs, where the next round goes on
    std::size_t nextCandidate_ = 0;  // so that each round weighs other candidates
};

}  // namespace burlpoint::coordination
