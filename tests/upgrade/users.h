#pragma once

// The users of the upgrade tests, who speak the protocol over HTTP and check every answer. Used on the test's
// one thread.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "upgrade/machines.h"
#include "upgrade/rules.h"

namespace burlpoint::tests {

/// They submit and cancel jobs at chosen controllers, and all the time ask each controller about each
/// accepted job and submit it again. Every answer is checked against what users were told before they asked.
class Users {
  public:
    Users(asio::io_context& io, Rules& rules, std::vector<Controller> controllers);

    /// Repeats the submission at this controller until it is accepted.
    void submit(const protocol::JobSpec& spec, std::size_t controller);
    /// Repeats the cancellation at this controller until it is confirmed.
    void cancel(const std::string& id, std::size_t controller);
    void step(Time now);

    /// The highest count of done tasks of the job that a controller has answered with.
    std::uint32_t highestDoneCount(const std::string& id) const;
    /// This controller has answered, since `forgetAnswers`, that the job is in this state.
    bool wasAnswered(std::size_t controller, const std::string& id, protocol::JobState state) const;
    void forgetAnswers() { answers_.clear(); }

  private:
    struct Known {  // to users, when a request leaves
        bool accepted = false;
        bool cancelled = false;  // confirmed, of this job or of one that it needs
        std::optional<protocol::JobState> terminalState;
    };
    struct Action {  // a submission or cancellation that is repeated until it is answered
        bool cancels = false;
        std::string id;
        std::size_t controller = 0;
        Time next{};
        bool underWay = false, over = false;
    };

    Known known(const std::string& id) const;
    void send(const std::shared_ptr<Action>& action, Time now);
    void finished(Action& action, const Known& before, const transport::HttpResult& outcome);
    void sendNextRequest();
    void askForUnknownJob(std::size_t controller);
    void poll(const std::string& id, std::size_t controller);
    void repeat(const std::string& id, std::size_t controller);
    void check(const std::string& id, std::size_t controller, const Known& before,
               const transport::HttpResult& outcome);
    void checkState(const std::string& id, const Known& before, protocol::JobState state);

    Rules& rules_;
    const std::vector<Controller> controllers_;
    transport::HttpClient http_;
    std::vector<std::shared_ptr<Action>> actions_;
    std::map<std::string, std::uint32_t> highestDoneCounts_;
    std::set<std::tuple<std::size_t, std::string, protocol::JobState>> answers_;
    std::size_t requests_ = 0, openRequests_ = 0;
    Time nextRequest_{};
};

}  // namespace burlpoint::tests
