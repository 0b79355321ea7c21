#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bookkeeping/jobs.h"

namespace burlpoint::bookkeeping {

using protocol::MachineType;

struct Resources {
    double cpus = 0, gpus = 0, memoryGb = 0;

    Resources& operator+=(const Resources& o) {
        cpus += o.cpus, gpus += o.gpus, memoryGb += o.memoryGb;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus, gpus -= o.gpus, memoryGb -= o.memoryGb;
        return *this;
    }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    /// Sums of decimals are not exact; a billionth of a processor is not worth a refusal.
    bool covers(const Resources& o) const {
        constexpr double slack = 1e-6;
        return o.cpus <= cpus + slack && o.gpus <= gpus + slack && o.memoryGb <= memoryGb + slack;
    }
    /// How many `o` fit.
    std::uint32_t times(const Resources& o) const;
};

inline Resources needOf(const JobSpec& spec) { return {spec.cpus, spec.gpus, spec.memoryGb}; }
inline Resources sizeOf(const MachineType& type) { return {type.cpus, type.gpus, type.memoryGb}; }

enum class PlaceState {
    planned,  // room kept, nothing sent yet
    sent,     // the start left in a report response, not seen yet
    fetching,
    waiting,
    running,
    saving
};

/// One attempt that is possibly on a machine.
struct Placement {
    Job* job = nullptr;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    PlaceState state = PlaceState::planned;
    std::uint64_t sentSequence = 0;  // of the report whose response carried the start
    Time since{};                    // of the state
    Time runningSince{};
    bool stopping = false;
    Seconds grace{0};
    bool seen = false;  // scratch for one report's sweep
};

struct AttemptKey {
    const Job* job;
    std::uint32_t task;
    std::uint64_t attempt;
    auto operator<=>(const AttemptKey&) const = default;
};

enum class RosterState { absent, writing, stored };

struct Machine {
    std::string id, address, type, zone;
    bool spot = false;

    std::uint64_t session = 0, sequence = 0;  // of the newest message
    std::uint64_t reportSequence = 0;         // of the newest report in that session
    /// It showed our token: nothing that an earlier leader sent can start any more, and its list is whole.
    bool heard = false;
    /// Nothing of earlier leaders can be on it, as it was heard or its lease ran out.
    bool settled = false;
    bool reports = false;  // a report of it was answered and its lease is not over
    Time lastReport{};
    Time leaseUntil = Time::max();  // the worker has forgotten its tasks by then
    std::optional<Time> recallAt;   // the cloud takes it away

    RosterState roster = RosterState::absent;
    std::map<AttemptKey, Placement> places;
    Resources used;

    std::vector<std::pair<std::string, double>> images;  // inferred cache, most recently used first
    bool draining = false;                               // takes no more tasks
    bool releasing = false;                              // its deletion was asked for
    bool failed = false;                                 // the cloud says that it stopped by itself
    Time knownSince{};                                   // rented or first seen
    Time busyUntil{};                                    // when it last had a task
    Time probedAt{};                                     // when a probe was last answered
    bool probing = false;
    Time quietUntil{};  // no new starts after a refusal
    const Job* reservedFor = nullptr;
    Time reservedUntil{};
    bool holding = false;  // only what comes free by itself is kept; nothing was stopped for it
    std::set<std::string> errorJobs;  // jobs that failed on it since a task last worked

    bool hasImage(const std::string& image) const;
    bool isFetching(const std::string& image) const;
    void useImage(const std::string& image, double gb, double cacheGb);
};

/// All machines, what may be on them and what the teams use through that.
class Fleet {
  public:
    std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
    Machine* find(const std::string& id);
    Machine& add(const std::string& id, Time now);
    /// Forgets the machine; nothing may be on it any more.
    void erase(const std::string& id);

    Placement& place(Machine& machine, Job& job, std::uint32_t task, std::uint64_t attempt, PlaceState state,
                     Time now);
    /// Proof arrived that the attempt is not on the machine. Returns the next placement.
    std::map<AttemptKey, Placement>::iterator remove(Machine& machine,
                                                     std::map<AttemptKey, Placement>::iterator at);
    void setState(Placement& placement, PlaceState state, Time now);
    void removeAll(Machine& machine, const std::function<void(const Placement&)>& gone);

    Resources teamUse(const std::string& team) const;
    /// Machines possibly holding a task of the job.
    std::vector<std::pair<Machine*, Placement*>> placesOf(const Job& job);

  private:
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::unordered_map<std::string, Resources> teamUse_;
};

}  // namespace burlpoint::bookkeeping
