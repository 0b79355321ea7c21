#include "simulation/simulated_users.h"

namespace burlpoint::simulation {

using namespace std::chrono_literals;
using storage::TerminalState;

void SimulatedUsers::submit(const protocol::JobSpec& spec) {
    if (store_.isUnavailable()) return;
    auto& jobs = environment_.jobs;
    for (const auto& dependency : spec.dependencies) {
        if (!jobs.specs.contains(dependency)) return;  // the API responds with 422
        if (jobs.cancelledAt.contains(dependency)) jobs.cancelledAt.try_emplace(spec.id, environment_.now());
    }
    environment_.occurrences.cancellationsByDependency += jobs.cancelledAt.contains(spec.id);
    const auto key = storage::keys::job(spec.id);
    const storage::JobRecord record{spec, TerminalState::none, 0, 0, 4};
    store_.commitImmediately({{key, 0}}, {{key, storage::encodeJob(record), 0}});
    jobs.specs.try_emplace(spec.id, spec);
}

void SimulatedUsers::cancel(const std::string& job) {
    auto& jobs = environment_.jobs;
    auto& occurrences = environment_.occurrences;
    const auto now = environment_.now();
    if (!jobs.specs.contains(job)) return;
    if (store_.isUnavailable()) {
        ++occurrences.cancellationsDelayedByOutage;
        environment_.events.schedule(1s, [this, job] { cancel(job); });
        return;
    }
    if (store_.terminalStateOf(job) != TerminalState::none) return;
    const auto key = storage::keys::job(job);
    auto record = store_.recordOf(job);
    record.terminalState = TerminalState::cancelled;
    store_.commitImmediately({{key, store_.contents().values.at(key).version}},
                             {{key, storage::encodeJob(record), 0}});
    jobs.cancelledAt[job] = now;
    for (const auto& [other, spec] : jobs.specs) {
        if (jobs.cancelledAt.contains(other) || store_.terminalStateOf(other) != TerminalState::cancelled)
            continue;
        jobs.cancelledAt[other] = now;
        ++occurrences.cancellationsByDependency;
    }
    for (const auto& id : workers_.workersWithTasks(job))
        occurrences.cancellationsOnUnreachableMachines +=
            !workers_.findReachable(id) || workers_.at(id).inboundLinkDownUntil > now;
}

void SimulatedUsers::queryStatus(const std::string& job) {
    if (store_.isUnavailable() || !environment_.jobs.specs.contains(job)) return;
    auto& violations = environment_.violations;
    if (!store_.contents().values.contains(storage::keys::job(job)))
        return violations.push_back("forgotten: " + job);
    const auto state = store_.terminalStateOf(job);
    // Every controller that has read the store must derive the same state from it.
    store_.readChanges(replica_, replicaPosition_);
    if (replica_.find(job)->terminalState != state) violations.push_back("orphaned or went_back: " + job);
    auto& previousState = lastAnswers_[job];
    if (previousState != TerminalState::none && previousState != state)
        violations.push_back("went_back: " + job);
    previousState = state;
}

void SimulatedUsers::cancelQueryAndResubmit(const std::string& job) {
    auto& random = environment_.random;
    auto& events = environment_.events;
    events.schedule(random.delay(0, 0.6), [this, job] {
        environment_.occurrences.cancellationsAtJobEnd += store_.terminalStateOf(job) == TerminalState::none;
        cancel(job);
    });
    for (int i = 0; i < 3; ++i) {
        events.schedule(random.delay(0, 1.5), [this, job] { submit(environment_.jobs.specs.at(job)); });
        events.schedule(random.delay(0, 1.5), [this, job] { queryStatus(job); });
        events.schedule(random.delay(0, 60), [this, job] { queryStatus(job); });
    }
}

}  // namespace burlpoint::simulation
