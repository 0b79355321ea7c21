#pragma once

// The users of the upgrade tests: HTTP clients that submit, cancel and poll jobs, and check every response.
// Single-threaded: used only on the test's thread.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "upgrade/machines.h"
#include "upgrade/test_oracle.h"

namespace burlpoint::tests {

/// Submits and cancels jobs at chosen controllers, and continuously polls and resubmits each accepted job at
/// each controller. Every response is checked against what users had been answered before the request was
/// sent.
class Users {
  public:
    Users(asio::io_context& io, TestOracle& oracle, std::vector<ControllerEndpoint> controllers);

    /// Submits the job at this controller, and retries until it is accepted.
    void submit(const protocol::JobSpec& spec, std::size_t controller);
    /// Cancels the job at this controller, and retries until the cancellation is confirmed.
    void cancel(const std::string& id, std::size_t controller);
    void step(Time now);

    /// The highest number of done tasks of the job in any controller's response so far.
    std::uint32_t highestDoneCount(const std::string& id) const;
    /// True if this controller has answered since the last `forgetAnswers` that the job is in this state.
    bool hasAnswered(std::size_t controller, const std::string& id, protocol::JobState state) const;
    void forgetAnswers() { answeredStates_.clear(); }

  private:
    struct KnownState {  // what users had been answered when a request was sent
        bool accepted = false;
        bool cancelled = false;  // confirmed for the job or one of its dependencies
        std::optional<protocol::JobState> terminalState;
    };
    struct Action {  // a submission or cancellation that is retried until it succeeds
        bool isCancellation = false;
        std::string id;
        std::size_t controller = 0;
        Time nextAttemptAt{};
        bool inFlight = false, isComplete = false;
    };

    KnownState knownState(const std::string& id) const;
    void send(const std::shared_ptr<Action>& action, Time now);
    void handleActionResponse(Action& action, const KnownState& knownBefore,
                              const transport::HttpResult& outcome);
    void sendNextRequest();
    void pollUnknownJob(std::size_t controller);
    void poll(const std::string& id, std::size_t controller);
    void resubmit(const std::string& id, std::size_t controller);
    void checkResponse(const std::string& id, std::size_t controller, const KnownState& knownBefore,
                       const transport::HttpResult& outcome);
    void checkState(const std::string& id, const KnownState& knownBefore, protocol::JobState state);

    TestOracle& oracle_;
    const std::vector<ControllerEndpoint> controllers_;
    transport::HttpClient http_;
    std::vector<std::shared_ptr<Action>> actions_;
    std::map<std::string, std::uint32_t> highestDoneCounts_;
    std::set<std::tuple<std::size_t, std::string, protocol::JobState>> answeredStates_;
    std::size_t requestsSent_ = 0, inFlightRequests_ = 0;
    Time nextRequestAt_{};
};

}  // namespace burlpoint::tests
