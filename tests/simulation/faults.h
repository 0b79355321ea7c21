#pragma once

// How often each kind of fault happens in a simulated cluster. A plain value without state of its own.

namespace burlpoint::simulation {

/// `...Probability` is the chance for each message, request or task; `...PerSecond` is the expected number of
/// events a second, for each worker or for the leader. A fault that is 0 by default draws no random number
/// while it is 0, so histories generated without it stay as they are.
struct Faults {
    // --- messages and requests ---

    double messageLossProbability = 0.03;
    /// A direct command, transaction or cloud request is carried out much later.
    double lateExecutionProbability = 0.03;
    /// A second copy of a heartbeat arrives, up to several leases later.
    double heartbeatDuplicateProbability = 0.05;
    /// A copy of a heartbeat arrives only once a new leader has acted.
    double heartbeatHeldForNextLeaderProbability = 0;
    /// A transaction gets no answer and is carried out 2 to 12 s later.
    double unansweredWriteProbability = 0;
    /// A command, or an answer to a heartbeat, waits until its machine no longer hangs and is no longer cut
    /// off.
    double messageHeldUntilRecoveryProbability = 0;

    // --- workers ---

    double workerDeathsPerSecond = 0.002;
    double workerHangsPerSecond = 0.003;  // each up to the length of a lease and beyond
    /// A worker and the controllers cannot reach each other.
    double workerPartitionsPerSecond = 0.005;
    /// A worker's heartbeats arrive, but nothing reaches the worker.
    double inboundLinkFailuresPerSecond = 0.003;
    /// A worker reaches no controller, but direct commands reach it.
    double outboundLinkFailuresPerSecond = 0;
    /// A worker ends and is back at once with a higher incarnation.
    double workerRestartsPerSecond = 0.001;
    /// The same, but the worker counts its incarnations and heartbeats from the beginning.
    double workerCounterResetsPerSecond = 0.0005;
    double spotInterruptionsPerSecond = 0.002;
    double taskErrorProbability = 0.02;

    // --- the leader and the users ---

    double leaderCrashesPerSecond = 0.01;
    /// The leader loses the key-value store, but not its workers.
    double leaderStoreLossesPerSecond = 0.003;
    /// As a job's last task ends, its user cancels the job, asks about it and submits it again.
    double userActionsAtJobEndProbability = 0;

    /// Nothing fails.
    static Faults none() { return {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}; }
};

}  // namespace burlpoint::simulation
