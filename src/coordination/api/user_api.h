#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "coordination/api/submission_queue.h"
#include "coordination/state/state_watcher.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"
#include "transport/http_message.h"

/// The users' interface of a node: submissions, questions and cancellations. `UserApi` owns the queue of
/// submissions and the counts of running tasks that users are shown.
namespace burlpoint::coordination {

/// Why a job can never run under these settings and on these machine types, or nothing.
std::optional<std::string> reasonItCannotRun(const protocol::JobSpec& spec,
                                             const protocol::Settings& settings,
                                             const std::vector<protocol::MachineType>& types);

/// Answers users, on every node. Nothing is acknowledged before it is stored, and only a final state is told
/// without asking the key-value store first. Where that does not answer, users get 503 with `Retry-After`.
class UserApi {
  public:
    /// All of these must outlive this, which waits for answers of `state` and `watcher`.
    UserApi(asio::io_context& io, const protocol::Settings& settings, storage::KeyValueClient& state,
            bookkeeping::StateReplica& replica, StateWatcher& watcher);

    /// Answers the request by `reply`, called exactly once, perhaps later. False: the path is none of the
    /// users', and `reply` is not called.
    bool handle(const transport::Request& request, const transport::Reply& reply);
    /// Running tasks per job as the leader told them last; for display only.
    void setRunning(const std::vector<std::pair<std::string, std::uint32_t>>& running);

  private:
    struct JobPath {  // what a path that names a job asks for
        std::string id;
        bool cancels = false;  // else it asks for the job's state
    };

    /// Nothing: the path names no job.
    static std::optional<JobPath> parseJobPath(const std::string& path);
    void handleJob(const JobPath& path, const transport::Request& request, const transport::Reply& reply);

    void submit(const transport::Request& request, const transport::Reply& reply);
    /// A new job, as far as is known here, that could run.
    void admit(protocol::JobSpec spec, const transport::Reply& reply);
    /// Admits a job once a read of the key-value store has shown all that it needs.
    void admitAfterRead(protocol::JobSpec spec, const transport::Reply& reply);
    /// A job that it needs and that was never accepted, as far as is known here.
    std::optional<std::string> missingDependency(const protocol::JobSpec& spec) const;
    /// Turns a job down for good, unless it was accepted before.
    void reject(const std::string& id, const std::string& why, const transport::Reply& reply);

    void enqueue(protocol::JobSpec spec, const transport::Reply& reply);
    /// Stores what may be stored now, and turns away what has waited for too long.
    void serveQueue();
    void serveLater(Duration pause);
    void store(Submission submission);
    /// What came of storing a submission.
    void stored(const Submission& submission, const storage::TransactionResult& result);
    /// The key-value store did not store it for now: once more if time is left.
    void retryOrGiveUp(const Submission& submission);

    void status(const std::string& id, const transport::Reply& reply);
    /// Cancels a job after a read of the key-value store; a write that fails is tried `tries` times in all.
    void cancel(const std::string& id, const transport::Reply& reply, int tries);
    void writeCancelled(const std::string& id, const transport::Reply& reply, int tries);
    void answerState(const bookkeeping::Job& job, const transport::Reply& reply) const;

    const protocol::Settings& settings_;
    storage::KeyValueClient& state_;
    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    SubmissionQueue queue_;
    transport::Timer timer_;  // for the next look at the queue
    bool timing_ = false;     // the timer runs
    std::unordered_map<std::string, std::uint32_t> running_;
};

}  // namespace burlpoint::coordination
