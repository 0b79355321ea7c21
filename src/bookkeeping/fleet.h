#pragma once

// The machines that a leader knows, the placements that may be on them, and running sums and indexes over
// both. Owns the machines and their placements. Jobs are owned by the StateReplica and must outlive the
// fleet. Used on the thread that owns the leader.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/heartbeat_version.h"
#include "bookkeeping/image.h"
#include "bookkeeping/job.h"
#include "bookkeeping/machine.h"
#include "bookkeeping/offering.h"
#include "bookkeeping/placement.h"
#include "bookkeeping/resources.h"

namespace burlpoint::bookkeeping {

/// How the capacity for a reservation on a machine becomes free.
enum class ReservationKind {
    preempting,  // tasks were stopped to free it
    waiting      // no task was stopped: the reservation waits for tasks to end by themselves
};

/// All machines and placements of a leader. Everything that the handling of a heartbeat looks up is
/// maintained as an index or a running sum, so that the cost of a heartbeat does not grow with the number of
/// machines.
class Fleet {
  public:
    std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
    /// Null if there is no such machine.
    Machine* find(const std::string& id);
    /// Returns the machine with that id, and adds it first if there is none.
    Machine& add(const std::string& id, Time now);
    /// Removes the machine, which must have no placements.
    void erase(const std::string& id);

    /// Adds a placement, unless the attempt is on the machine already. Returns the attempt's placement. The
    /// job must have a run.
    Placement& place(Machine& machine, Job& job, std::uint32_t task, std::uint64_t attempt,
                     PlacementState state, Time now);
    /// Removes a placement. Must only be called once it is certain that the attempt is not on the machine.
    /// Returns the next placement.
    std::map<AttemptKey, Placement>::iterator remove(Machine& machine,
                                                     std::map<AttemptKey, Placement>::iterator at);
    /// Removes all placements of the machine and calls `removed` after each.
    void removeAll(Machine& machine, const std::function<void(const Placement&)>& removed);
    void setState(Placement& placement, PlacementState state, Time now);

    /// The resources that the team's tasks use on all machines.
    Resources teamUse(const std::string& team) const;
    /// All placements of the job's tasks, with their machines.
    std::vector<std::pair<Machine*, Placement*>> placementsOf(const Job& job);

    /// Sets the priority of the job's run and accounts the resources of its tasks under that priority.
    void setPriority(Job& job, protocol::Priority priority);

    void setReconciled(Machine& machine, bool reconciled);
    void setRegistration(Machine& machine, RegistrationState registration);
    /// The number of registered machines, by offering, on which tasks of an earlier leader may still run.
    const std::map<Offering, std::uint32_t>& unreconciled() const { return unreconciled_; }

    /// Records that the machine used the image, whose size is `gb`: makes it the most recently used one in
    /// the machine's cache, and evicts the least recently used images while the cache exceeds `cacheGb`. Both
    /// are in GB. The image itself is never evicted.
    void recordImageUse(Machine& machine, const Image& image, double gb, double cacheGb);
    /// The machines that have the image in their cache.
    const std::vector<Machine*>& machinesWithImage(const Image& image) const;

    /// Reserves capacity on the machine for `tasks` of the job's tasks. Replaces an earlier reservation.
    void reserve(Machine& machine, const Job& job, Time until,
                 ReservationKind kind = ReservationKind::preempting, std::uint32_t tasks = 1);
    void cancelReservation(Machine& machine);
    /// The number of machines with a reservation for the job that has not expired at `now`.
    std::size_t reservedMachineCount(const Job& job, Time now) const;

  private:
    enum class UseChange { add, subtract };
    void updateUnreconciled(Machine& machine);
    void updateUse(Machine& machine, const Job& job, UseChange direction);
    static void clearUse(Machine& machine);
    static bool isPreemptible(const Job& job);
    void evictImages(Machine& machine, double cacheGb);

    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::unordered_map<std::string, Resources> teamUse_;
    std::map<Offering, std::uint32_t> unreconciled_;
    std::unordered_map<Image, std::vector<Machine*>, Image::Hash> byImage_;
    std::unordered_map<const Job*, std::set<Machine*>> reserved_;
};

}  // namespace burlpoint::bookkeeping
