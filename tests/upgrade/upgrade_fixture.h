#pragma once

// The fixture of the upgrade tests. A test replaces the processes of an older version by the current one step
// by step. Some processes crash before they are replaced and restart in the old version, so that both
// versions serve the same data at the same time under leaders of either version. Each test starts its own
// cluster.

#include <gtest/gtest.h>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "upgrade/cluster.h"

namespace burlpoint::tests {

/// The version from which an upgrade starts.
struct OldVersion {
    std::string label;
    Version version;
    bool supportsPipelines = false;  // and reads the next limits of the key-value store
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest calls
void PrintTo(const OldVersion& old, std::ostream* out);

extern const Version kNewVersion;
constexpr auto kAllTasks = protocol::kMaxTasks;
constexpr char kServiceJob[] = "wk-1";  // runs during the whole test, so that machines stay in use

protocol::JobSpec makeJob(const std::string& id, protocol::JobKind kind, std::uint32_t tasks,
                          std::vector<std::string> dependencies = {});
/// An array job whose tasks are so small that a machine runs hundreds of them at a time.
protocol::JobSpec makeArrayOfSmallTasks(const std::string& id, std::uint32_t tasks);
protocol::JobSpec withHighPriority(protocol::JobSpec spec);

/// All helpers are public, because free functions in the test files use them.
class Upgrade : public testing::TestWithParam<OldVersion> {
  public:
    /// Starts all controllers in the old version, submits the service job, and waits until it runs.
    void startOldCluster(StoreLimits limits = {});
    /// Starts the new version on every controller that does not run it yet, one after the other.
    void upgradeAll();
    const Version& oldVersion() const { return GetParam().version; }
    /// The index of the controller `offset` places after this one, modulo their number.
    static std::size_t nextAfter(std::size_t controller, std::size_t offset = 1) {
        return (controller + offset) % Cluster::kControllers;
    }
    /// Lets all jobs complete, cancels the service job, and waits until every controller answers with the
    /// same terminal states. Expects no violations and no active tasks.
    void finishAndCheck();

    std::string newJobId() { return "wk-" + std::to_string(++lastId_); }
    /// Submits a job and waits until it is accepted. Workers complete at most `completionLimit` of its tasks;
    /// the others keep running until the limit is raised.
    void submit(const protocol::JobSpec& spec, std::size_t controller, std::uint32_t completionLimit = 0);
    /// Submits an array job, waits until all its tasks run, and returns its id.
    std::string submitRunningJob(std::size_t controller);
    /// Submits a small job through each running controller, and waits until all these jobs are done.
    void completeAJobThroughEachController();
    /// Raises the job's completion limit to `tasks`, and waits until a controller reports that many tasks as
    /// done.
    void completeUpTo(const std::string& id, std::uint32_t tasks);
    /// Raises the job's completion limit to `tasks`, and waits until that many have completed on the
    /// machines, whatever the controllers report.
    void completeOnMachines(const std::string& id, std::uint32_t tasks);
    /// Lets all tasks of the job complete, and waits until a controller reports the job as done.
    void complete(const std::string& id);

    void waitUntilRunning(const std::string& id, std::uint32_t tasks);
    void waitUntilDone(const std::string& id);
    void waitUntilCancelled(const std::string& id);
    /// Waits until no machine has a task of the job that has not exited.
    void waitUntilNoActiveTasks(const std::string& id);
    void waitUntilAllControllersAnswer(const std::string& id, protocol::JobState state);
    void expectNeverStarted(const std::vector<std::string>& ids);

    std::unique_ptr<Cluster> cluster;

  private:
    bool allJobsEnded() const;
    bool allControllersAgreeOnTerminalStates() const;

    std::uint64_t lastId_ = 1000;  // above all ids that tests choose literally
};

}  // namespace burlpoint::tests
