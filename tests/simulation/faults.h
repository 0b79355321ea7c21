#pragma once

// The rate of each kind of fault in a simulated cluster, as a plain value.

namespace burlpoint::simulation {

/// `...Probability` is the probability per message, request or task; `...PerSecond` is the expected number of
/// events per second, for each worker or for the leader. A fault whose default is 0 draws no random number
/// while it is 0, so the histories of existing seeds do not change when such a fault is added.
struct Faults {
    // Faults of messages and requests.

    double messageLossProbability = 0.03;
    /// A direct command, transaction or cloud request gets no response in time and is executed up to 40 s
    /// later, a transaction only with a probability of 0.7. A heartbeat is delayed by up to 10 s, its
    /// response by up to 8 s.
    double lateExecutionProbability = 0.03;
    /// A second copy of a heartbeat arrives up to 50 s later, which is several lease durations.
    double heartbeatDuplicateProbability = 0.05;
    /// A copy of a heartbeat is held back and arrives only after the next leader has been elected.
    double heartbeatHeldForNextLeaderProbability = 0;
    /// A transaction gets no response and is applied 2 to 12 s later.
    double unansweredWriteProbability = 0;
    /// A direct command or a heartbeat response is held back until its machine's hang or partition has ended.
    double messageHeldUntilRecoveryProbability = 0;
    /// A copy of a direct command arrives up to 40 s after the command, whether or not that was executed.
    double directCommandCopyProbability = 0;
    /// The commands of a heartbeat response that were executed arrive once more, as long as the worker would
    /// accept the response: up to 4 s after the heartbeat was sent.
    double responseCopyProbability = 0;

    // Faults of workers, their network connections and their tasks.

    double workerDeathsPerSecond = 0.002;
    double workerHangsPerSecond = 0.003;  // each for 1 to 18 s; the default lease is 12 s
    /// The network between a worker and the controllers fails in both directions.
    double workerPartitionsPerSecond = 0.005;
    /// The network fails towards a worker only: its heartbeats arrive, but it receives nothing.
    double inboundLinkFailuresPerSecond = 0.003;
    /// The network fails from a worker only: its heartbeats are lost, but it receives direct commands.
    double outboundLinkFailuresPerSecond = 0;
    /// A worker agent restarts at once with a higher incarnation; its tasks are lost.
    double workerRestartsPerSecond = 0.001;
    /// A worker agent restarts with its incarnation, heartbeat sequence number and fencing token reset.
    double workerCounterResetsPerSecond = 0.0005;
    double spotInterruptionsPerSecond = 0.002;
    double taskErrorProbability = 0.02;

    // Faults of the leader, and actions of users.

    double leaderCrashesPerSecond = 0.01;
    /// The leader loses its connection to the key-value store, but not to its workers.
    double leaderStoreLossesPerSecond = 0.003;
    /// When a job's last task completes, its user cancels the job, queries its status and resubmits it.
    double userActionsAtJobEndProbability = 0;

    /// All rates are 0.
    static Faults none() { return {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}; }
};

}  // namespace burlpoint::simulation
