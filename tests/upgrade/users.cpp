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
constexpr auto kBetweenQuestions = 20ms;
constexpr std::size_t kMostOpen = 40;       // questions under way
constexpr std::size_t kRepeatEvery = 5;     // so many questions one is a submission repeated
constexpr std::size_t kStrangerEvery = 23;  // and one is about a job that nobody has submitted
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
    : constraints_(rules), controllers_(std::move(controllers)), http_(io, kConnections) {}

void Users::submit(const protocol::JobSpec& spec, std::size_t controller) {
    auto& facts = constraints_.jobs[spec.id];
    facts.spec = spec;
    for (const auto& needed : spec.dependencies)
        facts.cancelRequested |= constraints_.job(needed).cancelRequested;
    actions_.push_back(std::make_shared<Action>(Action{false, spec.id, controller}));
}

void Users::cancel(const std::string& id, std::size_t controller) {
    constraints_.noteCancelRequested(id);
    actions_.push_back(std::make_shared<Action>(Action{true, id, controller}));
}

void Users::step(Time now) {
    for (const auto& action : actions_)
        if (!action->underWay && now >= action->next) send(action, now);
    std::erase_if(actions_, [](const auto& action) { return action->over; });
    if (now < nextQuestion_ || open_ >= kMostOpen) return;
    nextQuestion_ = now + kBetweenQuestions;
    askNext();
}

Users::Known Users::known(const std::string& id) const {
    const auto& facts = constraints_.jobs.at(id);
    return {facts.accepted, facts.cancelConfirmed.has_value(), facts.terminalState};
}

void Users::send(const std::shared_ptr<Action>& action, Time now) {
    action->underWay = true;
    action->next = now + kRetry;
    const auto& id = action->id;
    const auto path = action->cancels ? pathOf(id) + protocol::paths::kCancel : protocol::paths::kSubmissions;
    const auto body = action->cancels ? std::string() : submissionOf(constraints_.job(id).spec);
    http_.request(controllers_[action->controller].address, "POST", path, body, kSubmissionTimeout,
                  [this, action, before = known(id)](const HttpResult& outcome) {
                      action->underWay = false;
                      finished(*action, before, outcome);
                  });
}

void Users::finished(Action& action, const Known& before, const HttpResult& outcome) {
    auto& facts = constraints_.job(action.id);
    check(action.id, action.controller, before, outcome);
    const bool refused = outcome.status == 400 || outcome.status == 404 || outcome.status == 422;
    constraints_.require(!refused, action.id + " was refused with " + std::to_string(outcome.status));
    action.over = outcome.status == 200 || outcome.status == 201;
    if (!action.over) return;
    const auto now = Clock::now();
    if (!action.cancels) {
        facts.accepted = true;
        for (const auto& needed : facts.spec.dependencies)
            if (constraints_.job(needed).cancelConfirmed) constraints_.noteCancelled(action.id, now);
    } else if (facts.terminalState == JobState::cancelled) {
        constraints_.noteCancelled(action.id, now);
    }
}

/// One question at a time, about each job to each controller in turn.
void Users::askNext() {
    std::vector<std::string> accepted;
    for (const auto& [id, facts] : constraints_.jobs)
        if (facts.accepted) accepted.push_back(id);
    if (accepted.empty()) return;
    const auto number = questions_++;
    const auto controller = number % controllers_.size();
    if (number % kStrangerEvery == 0) return askForStranger(controller);
    const auto& id = accepted[number / controllers_.size() % accepted.size()];
    const auto round = number / controllers_.size() / accepted.size();
    if ((round + controller) % kRepeatEvery == 0)
        repeat(id, controller);
    else
        poll(id, controller);
}

void Users::askForStranger(std::size_t controller) {
    constexpr char kStranger[] = "wk-999999";
    ++open_;
    http_.request(controllers_[controller].address, "GET", pathOf(kStranger), "", kPollTimeout,
                  [this](const HttpResult& outcome) {
                      --open_;
                      constraints_.require(outcome.status != 200, "invented: a job that nobody submitted");
                  });
}

void Users::poll(const std::string& id, std::size_t controller) {
    ++open_;
    http_.request(controllers_[controller].address, "GET", pathOf(id), "", kPollTimeout,
                  [this, id, controller, before = known(id)](const HttpResult& outcome) {
                      --open_;
                      check(id, controller, before, outcome);
                  });
}

void Users::repeat(const std::string& id, std::size_t controller) {
    ++open_;
    http_.request(controllers_[controller].address, "POST", protocol::paths::kSubmissions,
                  submissionOf(constraints_.job(id).spec), kSubmissionTimeout,
                  [this, id, controller, before = known(id)](const HttpResult& outcome) {
                      --open_;
                      check(id, controller, before, outcome);
                  });
}

void Users::check(const std::string& id, std::size_t controller, const Known& before,
                  const HttpResult& outcome) {
    const auto status = outcome.status;
    const auto who = id + " at " + controllers_[controller].name;
    if (before.accepted) {
        const bool refused = status == 400 || status == 404 || status == 422;
        constraints_.require(!refused, "forgotten: " + who + " answered " + std::to_string(status));
        constraints_.require(status != 201, "forgotten: " + who + " was accepted as new");
    }
    if (status != 200 && status != 201) return;
    try {
        const auto handle = protocol::unpackBody(outcome.body);
        const protocol::MapReader fields(handle.get());
        const auto state = parseState(fields.text("bearing"));
        constraints_.require(fields.text("uid") == id, who + " answered for another job");
        checkState(id, before, state);
        auto& told = toldDone_[id];
        told = std::max(told, static_cast<std::uint32_t>(fields.integerOr("done", 0)));
        told_.emplace(controller, id, state);
    } catch (const protocol::MalformedMessage& error) {
        constraints_.require(false, who + " gave a malformed answer: " + error.what());
    }
}

void Users::checkState(const std::string& id, const Known& before, JobState state) {
    auto& facts = constraints_.job(id);
    constraints_.require(!before.terminalState || state == *before.terminalState, "went_back: " + id);
    // The page allows `cancel_s` for this; the sources guarantee it at once, as all follows from one record.
    constraints_.require(!before.cancelled || state == JobState::cancelled, "orphaned: " + id);
    if (!isFinal(state)) return;
    constraints_.require(state != JobState::done || facts.allCompleted(),
                         "not_done: " + id + " is called done");
    constraints_.require(state != JobState::cancelled || facts.cancelRequested,
                         "went_back: " + id + " is called cancelled without a request");
    constraints_.require(!facts.terminalState || facts.terminalState == state,
                         "went_back: " + id + " has two ends");
    facts.terminalState = state;
}

std::uint32_t Users::toldDone(const std::string& id) const {
    const auto found = toldDone_.find(id);
    return found == toldDone_.end() ? 0 : found->second;
}

bool Users::toldBy(std::size_t controller, const std::string& id, JobState state) const {
    return told_.contains({controller, id, state});
}

}  // namespace burlpoint::tests
