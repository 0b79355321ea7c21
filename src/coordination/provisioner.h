#pragma once

// What the leader asks of the cloud: machines to rent and to release, and its lists of machines and of types.
// Owns the budget of requests, what is under way and what was refused lately. It does no I/O and does not add
// machines to the fleet or remove them: that is its caller's.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/state_replica.h"
#include "coordination/capacity_plan.h"
#include "coordination/leader_messages.h"

namespace burlpoint::coordination {

/// What is to be sent to the cloud now.
struct CloudRequests {
    std::vector<RentalRequest> rentals;
    std::vector<std::string> releases;  // machines, by one request; none: no request
    bool listMachines = false;
    bool listTypes = false;
};

/// The waiting work that machines are rented for.
struct WaitingWork {
    const std::vector<Job*>& order;         // the jobs in the order in which they are served
    std::function<Time(const Job&)> dueAt;  // asked only of jobs that have a time due
};

/// Decides what to ask of the cloud, for one leadership. The caller sends what `decide` returns and tells
/// what came of it by the function of the request's kind, also if nothing came back: there is one release and
/// one list of machines under way at a time.
class Provisioner {
  public:
    /// All that is referred to outlives the provisioner. The token makes the names of rentals unique.
    Provisioner(const Settings& settings, const Policy& policy, const StateReplica& replica,
                std::uint64_t token, Time now);

    /// What to ask of the cloud now, as far as its budget goes: rentals first, then a release, then lists.
    /// Marks the machines to be released in the fleet, so that nothing starts on them from here on. `types`
    /// is what the machines' own types point into.
    CloudRequests decide(Fleet& fleet, const MachineTypes& types, const WaitingWork& work, Time now);

    /// What came of the request of that name; `machines`: how many were rented. Returns the request once it
    /// is settled; none: its outcome is unknown, so it is repeated, or it was settled before.
    std::optional<RentalRequest> rentalAnswered(const std::string& name, RentalOutcome outcome,
                                                std::size_t machines, Time now);

    /// `ok` false: the release may not have been carried out and is repeated after a pause.
    void releaseAnswered(bool ok, Time now);

    /// The list of machines came or failed; the next may be asked for.
    void machinesListed() { listing_ = false; }

    /// The machines that the cloud no longer has: not among the `listed`, as of `asked`, though known for so
    /// long that its list would show them.
    std::vector<Machine*> vanished(Fleet& fleet, const std::set<std::string>& listed, Time asked) const;

    /// What the cloud refused lately, for whoever asks whether more machines could be had.
    const RentalRefusals& refusals() const { return refusals_; }

  private:
    void requestRentals(const std::map<Offering, std::uint32_t>& wanted, CloudRequests& requests, Time now);
    void requestRelease(Fleet& fleet, const std::set<std::string>& needed, CloudRequests& requests, Time now);
    void requestLists(bool anyTypes, CloudRequests& requests, Time now);
    bool mayRelease(const Machine& machine, const std::set<std::string>& needed, Time now) const;
    bool isIdle(const Machine& machine, Time now) const;

    const Settings& settings_;
    const Policy& policy_;
    const StateReplica& replica_;
    storage::RateBudget budget_;  // of requests to the cloud
    RentalRequests rentals_;
    RentalRefusals refusals_;
    bool releasing_ = false;  // a release is under way
    bool listing_ = false;    // a list of machines is under way
    Time nextRelease_{};
    Time nextList_{};
    Time nextTypes_{};
};

}  // namespace burlpoint::coordination
