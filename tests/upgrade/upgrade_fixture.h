#pragma once

// What the upgrade tests have in common. Processes of an older version are replaced a few at a time, some die
// before their turn and come back old, and both versions serve side by side on the same data, whichever
// leads. Each test starts a cluster of its own.

#include <gtest/gtest.h>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "upgrade/cluster.h"

namespace burlpoint::tests {

/// The version that an upgrade starts from.
struct OldVersion {
    std::string label;
    Version version;
    bool knowsPipelines = false;  // and the key-value store's next limits
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest calls
void PrintTo(const OldVersion& old, std::ostream* out);

extern const Version kNewVersion;
constexpr auto kAllTasks = protocol::kMaxTasks;
constexpr char kService[] = "wk-1";  // runs during the whole test and keeps machines in use

protocol::JobSpec makeJob(const std::string& id, protocol::JobKind kind, std::uint32_t tasks,
                          std::vector<std::string> dependencies = {});
/// An array whose tasks take so little that a machine runs some hundreds of them.
protocol::JobSpec makeArrayOfSmallTasks(const std::string& id, std::uint32_t tasks);
protocol::JobSpec withHighPriority(protocol::JobSpec spec);

/// Everything is public, for the functions of the files that hold the tests.
class Upgrade : public testing::TestWithParam<OldVersion> {
  public:
    // --- the cluster ---

    /// Starts all controllers in the old version, and the service.
    void startOldCluster(ValueLimits limits = {});
    /// Replaces every controller that is not new yet, one after the other.
    void upgradeAll();
    const Version& oldVersion() const { return GetParam().version; }
    /// The controller so many places after this one.
    static std::size_t nextAfter(std::size_t controller, std::size_t places = 1) {
        return (controller + places) % Cluster::kControllers;
    }
    /// Lets every job end, cancels the service, waits until every controller answers with the same terminal
    /// states, and expects that no rule was broken and no task is left.
    void finishAndCheck();

    // --- jobs ---

    std::string newJobId() { return "wk-" + std::to_string(++lastId_); }
    /// Waits until the job is accepted. So many of its tasks complete; the others run on until they may.
    void submit(const protocol::JobSpec& spec, std::size_t controller, std::uint32_t completionLimit = 0);
    /// Submits an array and waits until all its tasks run. Returns its id.
    std::string submitRunningJob(std::size_t controller);
    /// Submits a small job through each controller that runs, and waits until all of them are done.
    void completeAJobThroughEachController();
    /// Lets so many tasks of the job complete, and waits until a controller answers with that count.
    void completeUpTo(const std::string& id, std::uint32_t tasks);
    /// Lets so many tasks of the job complete, and waits until they have, whatever controllers answer.
    void completeOnMachines(const std::string& id, std::uint32_t tasks);
    /// Lets the whole job complete, and waits until a controller answers that it is done.
    void complete(const std::string& id);

    void waitUntilRunning(const std::string& id, std::uint32_t tasks);
    void waitUntilDone(const std::string& id);
    void waitUntilCancelled(const std::string& id);
    /// No task of the job is left on any machine.
    void waitUntilGone(const std::string& id);
    void waitUntilAllControllersAnswer(const std::string& id, protocol::JobState state);
    void expectNeverStarted(const std::vector<std::string>& ids);

    std::unique_ptr<Cluster> cluster;

  private:
    bool allJobsEnded() const;
    bool allControllersAgreeOnEnds() const;

    std::uint64_t lastId_ = 1000;  // above the ids that tests choose themselves
};

}  // namespace burlpoint::tests
