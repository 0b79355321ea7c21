#include "upgrade/users.h"

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using protocol::JobState;
using transport::HttpResult;

namespace {

constexpr auto kRetry = 300ms;
constexpr auto kSubmissionTimeout = 5s, kPollTimeout = 2s;
constexpr auto kRequestInterval = 20ms;
constexpr std::size_t kMaxOpenRequests = 40;  // polls and repeated submissions
// Every so many rounds a submission is repeated, and every so many requests one asks about a job that nobody
// has submitted.
constexpr std::size_t kRepeatEvery = 5, kUnknownJobEvery = 23;
constexpr std::size_t kConnections = 200;

std::string submissionOf(const protocol::JobSpec& spec) {
    protocol::MessagePacker packer;
    protocol::packSpec(packer, spec);
    return packer.take();
}

std::string pathOf(const std::string& id) { return std::string(protocol::paths::kSubmissions) + "/" + id; }

JobState parseState(const std::string& word) {
    static const std::map<std::string, JobState> kStates{{"pending", JobState::queued},
                                                         {"running", JobState::running},
                                                         {"done", JobState::done},
                                                         {"cancelled", JobState::cancelled}};
    const auto found = kStates.find(word);
    if (found == kStates.end()) throw protocol::MalformedMessage("unknown state " + word);
    return found->second;
}

bool isFinal(JobState state) { return state == JobState::done || state == JobState::cancelled; }

}  // namespace

Users::Users(asio::io_context& io, Rules& rules, std::vector<Controller> controllers)
    : rules_(rules), controllers_(std::move(controllers)), http_(io, kConnections) {}

void Users::submit(const protocol::JobSpec& spec, std::size_t controller) {
    auto& facts = rules_.jobs[spec.id];
    facts.spec = spec;
    for (const auto& needed : spec.dependencies) facts.cancelRequested |= rules_.job(needed).cancelRequested;
    actions_.push_back(std::make_shared<Action>(Action{false, spec.id, controller}));
}

void Users::cancel(const std::string& id, std::size_t controller) {
    rules_.noteCancelRequested(id);
    actions_.push_back(std::make_shared<Action>(Action{true, id, controller}));
}

void Users::step(Time now) {
    for (const auto& action : actions_)
        if (!action->underWay && now >= action->next) send(action, now);
    std::erase_if(actions_, [](const auto& action) { return action->over; });
    if (now < nextRequest_ || openRequests_ >= kMaxOpenRequests) return;
    nextRequest_ = now + kRequestInterval;
    sendNextRequest();
}

Users::Known Users::known(const std::string& id) const {
    const auto& facts = rules_.jobs.at(id);
    return {facts.accepted, facts.cancelConfirmed.has_value(), facts.terminalState};
}

void Users::send(const std::shared_ptr<Action>& action, Time now) {
    action->underWay = true;
    action->next = now + kRetry;
    const auto& id = action->id;
    const auto path = action->cancels ? pathOf(id) + protocol::paths::kCancel : protocol::paths::kSubmissions;
    const auto body = action->cancels ? std::string() : submissionOf(rules_.job(id).spec);
    http_.request(controllers_[action->controller].address, "POST", path, body, kSubmissionTimeout,
                  [this, action, before = known(id)](const HttpResult& outcome) {
                      action->underWay = false;
                      finished(*action, before, outcome);
                  });
}

void Users::finished(Action& action, const Known& before, const HttpResult& outcome) {
    auto& facts = rules_.job(action.id);
    check(action.id, action.controller, before, outcome);
    const bool refused = outcome.status == 400 || outcome.status == 404 || outcome.status == 422;
    rules_.require(!refused, action.id + " was refused with " + std::to_string(outcome.status));
    action.over = outcome.status == 200 || outcome.status == 201;
    if (!action.over) return;
    const auto now = Clock::now();
    if (!action.cancels) {
        facts.accepted = true;
        for (const auto& needed : facts.spec.dependencies)
            if (rules_.job(needed).cancelConfirmed) rules_.noteCancelled(action.id, now);
    } else if (facts.terminalState == JobState::cancelled) {
        rules_.noteCancelled(action.id, now);
    }
}

/// About each job, to each controller in turn.
void Users::sendNextRequest() {
    std::vector<std::string> accepted;
    for (const auto& [id, facts] : rules_.jobs)
        if (facts.accepted) accepted.push_back(id);
    if (accepted.empty()) return;
    const auto number = requests_++;
    const auto controller = number % controllers_.size();
    if (number % kUnknownJobEvery == 0) return askForUnknownJob(controller);
    const auto& id = accepted[number / controllers_.size() % accepted.size()];
    const auto round = number / controllers_.size() / accepted.size();
    if ((round + controller) % kRepeatEvery == 0)
        repeat(id, controller);
    else
        poll(id, controller);
}

void Users::askForUnknownJob(std::size_t controller) {
    constexpr char kUnknownJob[] = "wk-999999";
    ++openRequests_;
    http_.request(controllers_[controller].address, "GET", pathOf(kUnknownJob), "", kPollTimeout,
                  [this](const HttpResult& outcome) {
                      --openRequests_;
                      rules_.require(outcome.status != 200, "invented: a job that nobody submitted");
                  });
}

void Users::poll(const std::string& id, std::size_t controller) {
    ++openRequests_;
    http_.request(controllers_[controller].address, "GET", pathOf(id), "", kPollTimeout,
                  [this, id, controller, before = known(id)](const HttpResult& outcome) {
                      --openRequests_;
                      check(id, controller, before, outcome);
                  });
}

void Users::repeat(const std::string& id, std::size_t controller) {
    ++openRequests_;
    http_.request(controllers_[controller].address, "POST", protocol::paths::kSubmissions,
                  submissionOf(rules_.job(id).spec), kSubmissionTimeout,
                  [this, id, controller, before = known(id)](const HttpResult& outcome) {
                      --openRequests_;
                      check(id, controller, before, outcome);
                  });
}

void Users::check(const std::string& id, std::size_t controller, const Known& before,
                  const HttpResult& outcome) {
    const auto status = outcome.status;
    const auto who = id + " at " + controllers_[controller].name;
    if (before.accepted) {
        const bool refused = status == 400 || status == 404 || status == 422;
        rules_.require(!refused, "forgotten: " + who + " answered " + std::to_string(status));
        rules_.require(status != 201, "forgotten: " + who + " was accepted as new");
    }
    if (status != 200 && status != 201) return;
    try {
        const auto handle = protocol::unpackBody(outcome.body);
        const protocol::MapReader fields(handle.get());
        const auto state = parseState(fields.text("bearing"));
        rules_.require(fields.text("uid") == id, who + " answered for another job");
        checkState(id, before, state);
        auto& highest = highestDoneCounts_[id];
        highest = std::max(highest, static_cast<std::uint32_t>(fields.integerOr("done", 0)));
        answers_.emplace(controller, id, state);
    } catch (const protocol::MalformedMessage& error) {
        rules_.require(false, who + " gave a malformed answer: " + error.what());
    }
}

void Users::checkState(const std::string& id, const Known& before, JobState state) {
    auto& facts = rules_.job(id);
    rules_.require(!before.terminalState || state == *before.terminalState, "went_back: " + id);
    // The page allows `cancel_s` for this; the sources guarantee it at once, as all follows from one record.
    rules_.require(!before.cancelled || state == JobState::cancelled, "orphaned: " + id);
    if (!isFinal(state)) return;
    rules_.require(state != JobState::done || facts.allCompleted(), "not_done: " + id + " is called done");
    rules_.require(state != JobState::cancelled || facts.cancelRequested,
                   "went_back: " + id + " is called cancelled without a request");
    rules_.require(!facts.terminalState || facts.terminalState == state,
                   "went_back: " + id + " has two ends");
    facts.terminalState = state;
}

std::uint32_t Users::highestDoneCount(const std::string& id) const {
    const auto found = highestDoneCounts_.find(id);
    return found == highestDoneCounts_.end() ? 0 : found->second;
}

bool Users::wasAnswered(std::size_t controller, const std::string& id, JobState state) const {
    return answers_.contains({controller, id, state});
}

}  // namespace burlpoint::tests
