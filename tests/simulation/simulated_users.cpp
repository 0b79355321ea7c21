#include "simulation/simulated_users.h"

namespace burlpoint::simulation {

using namespace std::chrono_literals;
using storage::TerminalState;

void SimulatedUsers::submit(const protocol::JobSpec& spec) {
    if (store_.isOut()) return;
    auto& jobs = environment_.jobs;
    for (const auto& needed : spec.dependencies) {
        if (!jobs.specs.contains(needed)) return;  // 422
        if (jobs.cancelledAt.contains(needed)) jobs.cancelledAt.try_emplace(spec.id, environment_.now());
    }
    environment_.occurrences.cancellationsByDependency += jobs.cancelledAt.contains(spec.id);
    const auto key = storage::keys::job(spec.id);
    const storage::JobRecord record{spec, TerminalState::none, 0, 0, 4};
    store_.commitAtOnce({{key, 0}}, {{key, storage::encodeJob(record), 0}});
    jobs.specs.try_emplace(spec.id, spec);
}

void SimulatedUsers::cancel(const std::string& job) {
    auto& jobs = environment_.jobs;
    auto& occurrences = environment_.occurrences;
    const auto now = environment_.now();
    if (!jobs.specs.contains(job)) return;
    if (store_.isOut()) {
        ++occurrences.cancellationsDelayedByOutage;
        environment_.events.schedule(1s, [this, job] { cancel(job); });
        return;
    }
    if (store_.terminalStateOf(job) != TerminalState::none) return;
    const auto key = storage::keys::job(job);
    auto record = store_.recordOf(job);
    record.terminalState = TerminalState::cancelled;
    store_.commitAtOnce({{key, store_.contents().values.at(key).version}},
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

void SimulatedUsers::ask(const std::string& job) {
    if (store_.isOut() || !environment_.jobs.specs.contains(job)) return;
    auto& brokenRules = environment_.brokenRules;
    if (!store_.contents().values.contains(storage::keys::job(job)))
        return brokenRules.push_back("forgotten: " + job);
    const auto state = store_.terminalStateOf(job);
    // What any controller answers that has read the store: all of them must derive the same from it.
    store_.readChanges(replica_, replicaPosition_);
    if (replica_.find(job)->terminalState != state) brokenRules.push_back("orphaned or went_back: " + job);
    auto& before = answers_[job];
    if (before != TerminalState::none && before != state) brokenRules.push_back("went_back: " + job);
    before = state;
}

void SimulatedUsers::actAtJobEnd(const std::string& job) {
    auto& random = environment_.random;
    auto& events = environment_.events;
    events.schedule(random.delay(0, 0.6), [this, job] {
        environment_.occurrences.cancellationsAtJobEnd += store_.terminalStateOf(job) == TerminalState::none;
        cancel(job);
    });
    for (int i = 0; i < 3; ++i) {
        events.schedule(random.delay(0, 1.5), [this, job] { submit(environment_.jobs.specs.at(job)); });
        events.schedule(random.delay(0, 1.5), [this, job] { ask(job); });
        events.schedule(random.delay(0, 60), [this, job] { ask(job); });
    }
}

}  // namespace burlpoint::simulation
