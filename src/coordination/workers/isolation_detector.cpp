#include "coordination/workers/isolation_detector.h"

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

// A single suspected machine is no evidence against this controller.
constexpr std::size_t kMinSuspected = 2;
// A controller counts as cut off only after no worker has sent a heartbeat for the suspicion timeout plus the
// first margin, and after it has led for the suspicion timeout plus the second margin.
constexpr auto kHeartbeatMargin = 4s;
constexpr auto kLeadershipAgeMargin = 6s;
// Time to delete the lost machines and to obtain replacements, after the workers' leases have expired.
constexpr auto kReplacementMargin = 20s;

}  // namespace

IsolationDetector::IsolationDetector(const Config& config)
    : config_(config), lastHeartbeat_(config.leadershipStart) {}

void IsolationDetector::recordHeartbeat(Time now) {
    lastHeartbeat_ = now;
    heartbeatReceived_ = true;
}

void IsolationDetector::recordSuspension(Time now) { lastHeartbeat_ = now; }

/// If every controller in turn finds itself cut off, the machines are really gone. Some leader must then stay
/// until the machines' leases have expired, or the controllers would resign in favour of each other without
/// end. Such a leader resigns as well if not even the replacement machines reach it.
Isolation IsolationDetector::evaluate(std::size_t alive, std::size_t suspected, Time now) {
    if (allWorkersSilent(alive, suspected, now)) {
        leadsWithoutWorkers_ = mayLeadWithoutWorkers();
        if (!leadsWithoutWorkers_) return Isolation::lostWorkers;
    }
    const bool replacementsOverdue =
        now - config_.leadershipStart > config_.maxLeaseDuration + kReplacementMargin;
    if (leadsWithoutWorkers_ && !heartbeatReceived_ && replacementsOverdue) return Isolation::neverReached;
    return Isolation::none;
}

bool IsolationDetector::allWorkersSilent(std::size_t alive, std::size_t suspected, Time now) const {
    return alive == 0 && suspected >= kMinSuspected &&
           now - lastHeartbeat_ > config_.suspicionTimeout + kHeartbeatMargin &&
           now - config_.leadershipStart > config_.suspicionTimeout + kLeadershipAgeMargin;
}

/// True if this leader should stay although no worker reaches it. Fencing tokens increase by one with each
/// leadership, so with n controllers one leadership in n + 1 stays. A leader that has received heartbeats
/// before never stays.
bool IsolationDetector::mayLeadWithoutWorkers() const {
    return !heartbeatReceived_ && config_.fencingToken % (config_.controllers + 1) == 0;
}

}  // namespace burlpoint::coordination
