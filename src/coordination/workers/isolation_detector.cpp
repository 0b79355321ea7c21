#include "coordination/workers/isolation_detector.h"

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

// A single suspected machine is no evidence against this controller.
constexpr std::size_t kMinSuspected = 2;
// Beyond the suspicion timeout: the time without any heartbeat, and the least age of a leadership, after
// which this controller counts as cut off.
constexpr auto kWithoutHeartbeat = 4s;
constexpr auto kSinceLeadershipBegan = 6s;
// Beyond the workers' leases: time to delete the lost machines and to get others in their place.
constexpr auto kWithoutWorkersMargin = 20s;

}  // namespace

IsolationDetector::IsolationDetector(const Config& config) : config_(config), lastHeartbeat_(config.began) {}

void IsolationDetector::noteHeartbeat(Time now) {
    lastHeartbeat_ = now;
    anyHeartbeat_ = true;
}

void IsolationDetector::noteSuspension(Time now) { lastHeartbeat_ = now; }

/// If every controller in turn finds itself cut off, the machines are really gone. Some leader has to stay
/// then until their leases have expired, or the controllers would resign in favour of each other for ever.
/// Such a leader resigns too if not even new machines reach it.
Isolation IsolationDetector::evaluate(std::size_t alive, std::size_t suspected, Time now) {
    if (isUnreached(alive, suspected, now)) {
        leadsWithoutWorkers_ = staysWithoutWorkers();
        if (!leadsWithoutWorkers_) return Isolation::lostWorkers;
    }
    const bool waitedLongEnough = now - config_.began > config_.leaseBound + kWithoutWorkersMargin;
    if (leadsWithoutWorkers_ && !anyHeartbeat_ && waitedLongEnough) return Isolation::neverReached;
    return Isolation::none;
}

bool IsolationDetector::isUnreached(std::size_t alive, std::size_t suspected, Time now) const {
    return alive == 0 && suspected >= kMinSuspected &&
           now - lastHeartbeat_ > config_.suspicionTimeout + kWithoutHeartbeat &&
           now - config_.began > config_.suspicionTimeout + kSinceLeadershipBegan;
}

/// Fencing tokens rise by one with each leadership, so one leadership in as many as there are controllers,
/// and one more, stays. A leader that has heard workers and hears them no more never does.
bool IsolationDetector::staysWithoutWorkers() const {
    return !anyHeartbeat_ && config_.fencingToken % (config_.controllers + 1) == 0;
}

}  // namespace burlpoint::coordination
