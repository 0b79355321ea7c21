#pragma once

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

/// Users who submit and cancel jobs at chosen controllers, and who all the time ask each controller about
/// each accepted job and submit it again. Every answer is checked against what users were told before they
/// asked.
class Users {
  public:
    Users(asio::io_context& io, Rules& rules, std::vector<Controller> controllers);

    /// Repeats the submission at this controller until it is accepted.
    void submit(const protocol::JobSpec& spec, std::size_t controller);
    /// Repeats the cancellation at this controller until it is confirmed.
    void cancel(const std::string& id, std::size_t controller);
    void step(Time now);

    /// The most tasks of the job that a controller has told to be done.
    std::uint32_t toldDone(const std::string& id) const;
    /// Since `forgetAnswers` this controller has told that the job is in this state.
    bool toldBy(std::size_t controller, const std::string& id, protocol::JobState state) const;
    void forgetAnswers() { told_.clear(); }

  private:
    struct Known {  // to users, at the time of a question
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
    void askNext();
    void askForStranger(std::size_t controller);
    void poll(const std::string& id, std::size_t controller);
    void repeat(const std::string& id, std::size_t controller);
    void check(const std::string& id, std::size_t controller, const Known& before,
               const transport::HttpResult& outcome);
    void checkState(const std::string& id, const Known& before, protocol::JobState state);

    Rules& constraints_;
    const std::vector<Controller> controllers_;
    transport::HttpClient http_;
    std::vector<std::shared_ptr<Action>> actions_;
    std::map<std::string, std::uint32_t> toldDone_;
    std::set<std::tuple<std::size_t, std::string, protocol::JobState>> told_;
    std::size_t questions_ = 0, open_ = 0;
    Time nextQuestion_{};
};

}  // namespace burlpoint::tests
