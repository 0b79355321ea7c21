#pragma once

// The machines that a leader knows, the placements that may be on them, and the sums and indexes kept over
// both. Owns the machines and their placements; jobs belong to the StateReplica and have to outlive the
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

/// Why room on a machine is reserved.
enum class ReservationKind {
    preempting,  // tasks were stopped to free it
    waiting      // nothing was stopped: only room that becomes free by itself is kept
};

/// All machines and placements of a leader. What the handling of a heartbeat asks for is kept as an index or
/// a running sum, so that its cost does not grow with the number of machines.
class Fleet {
  public:
    std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
    /// Null if there is no such machine.
    Machine* find(const std::string& id);
    /// The machine of that id, a new one if there is none.
    Machine& add(const std::string& id, Time now);
    /// Removes the machine, which must have no placements.
    void erase(const std::string& id);

    /// Adds a placement, unless the attempt is on the machine already. Returns that of the attempt. The job
    /// must have a run.
    Placement& place(Machine& machine, Job& job, std::uint32_t task, std::uint64_t attempt,
                     PlacementState state, Time now);
    /// Removes a placement, once it is certain that the attempt is not on the machine. Returns the next one.
    std::map<AttemptKey, Placement>::iterator remove(Machine& machine,
                                                     std::map<AttemptKey, Placement>::iterator at);
    /// Removes all placements of the machine and calls `removed` after each.
    void removeAll(Machine& machine, const std::function<void(const Placement&)>& removed);
    void setState(Placement& placement, PlacementState state, Time now);

    /// What the team's tasks use on all machines.
    Resources teamUse(const std::string& team) const;
    /// All placements of the job's tasks, with their machines.
    std::vector<std::pair<Machine*, Placement*>> placementsOf(const Job& job);

    /// Sets the priority of the job's run and moves what its tasks use to it.
    void setPriority(Job& job, protocol::Priority priority);

    void setReconciled(Machine& machine, bool reconciled);
    void setRegistration(Machine& machine, RegistrationState registration);
    /// How many registered machines of each offering may hold tasks of an earlier leader.
    const std::map<Offering, std::uint32_t>& unreconciled() const { return unreconciled_; }

    /// The machine used the image: it becomes the most recently used in its cache, and the least recently
    /// used beyond `cacheGb` are evicted.
    void useImage(Machine& machine, const Image& image, double gb, double cacheGb);
    /// The machines that have the image in their cache.
    const std::vector<Machine*>& withImage(const Image& image) const;

    /// Reserves room on the machine for `tasks` of the job's tasks, in place of an earlier reservation.
    void reserve(Machine& machine, const Job& job, Time until,
                 ReservationKind kind = ReservationKind::preempting, std::uint32_t tasks = 1);
    void cancelReservation(Machine& machine);
    /// The number of machines that are reserved for the job now.
    std::size_t reservations(const Job& job, Time now) const;

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
