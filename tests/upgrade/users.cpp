#include "upgrade/users.h"

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using protocol::JobState;
using transport::HttpResult;

namespace {

constexpr auto kRetryDelay = 300ms;
constexpr auto kSubmissionTimeout = 5s, kPollTimeout = 2s;
constexpr auto kRequestInterval = 20ms;
constexpr std::size_t kMaxInFlightRequests = 40;  // polls and resubmissions
// A job is resubmitted instead of polled in one of `kResubmitEvery` rounds over all accepted jobs. One of
// `kUnknownJobEvery` requests polls a job that was never submitted.
constexpr std::size_t kResubmitEvery = 5, kUnknownJobEvery = 23;
constexpr std::size_t kMaxConnections = 200;

std::string encodeSubmission(const protocol::JobSpec& spec) {
    protocol::MessagePacker packer;
    protocol::packSpec(packer, spec);
    return packer.str();
}

std::string jobPath(const std::string& id) { return std::string(protocol::paths::kSubmissions) + "/" + id; }

JobState parseState(const std::string& word) {
    static const std::map<std::string, JobState> kStates{{"pending", JobState::queued},
                                                         {"running", JobState::running},
                                                         {"done", JobState::done},
                                                         {"cancelled", JobState::cancelled}};
    const auto found = kStates.find(word);
    if (found == kStates.end()) throw protocol::MalformedMessage("unknown state " + word);
    return found->second;
}

bool isTerminal(JobState state) { return state == JobState::done || state == JobState::cancelled; }

}  // namespace

Users::Users(asio::io_context& io, TestOracle& oracle, std::vector<ControllerEndpoint> controllers)
    : oracle_(oracle), controllers_(std::move(controllers)), http_(io, kMaxConnections) {}

void Users::submit(const protocol::JobSpec& spec, std::size_t controller) {
    auto& facts = oracle_.jobs[spec.id];
    facts.spec = spec;
    for (const auto& dependency : spec.dependencies)
        facts.cancelRequested |= oracle_.job(dependency).cancelRequested;
    actions_.push_back(std::make_shared<Action>(Action{false, spec.id, controller}));
}

void Users::cancel(const std::string& id, std::size_t controller) {
    oracle_.markCancelRequested(id);
    actions_.push_back(std::make_shared<Action>(Action{true, id, controller}));
}

void Users::step(Time now) {
    for (const auto& action : actions_)
        if (!action->inFlight && now >= action->nextAttemptAt) send(action, now);
    std::erase_if(actions_, [](const auto& action) { return action->isComplete; });
    if (now < nextRequestAt_ || inFlightRequests_ >= kMaxInFlightRequests) return;
    nextRequestAt_ = now + kRequestInterval;
    sendNextRequest();
}

Users::KnownState Users::knownState(const std::string& id) const {
    const auto& facts = oracle_.jobs.at(id);
    return {facts.accepted, facts.cancelConfirmed.has_value(), facts.terminalState};
}

void Users::send(const std::shared_ptr<Action>& action, Time now) {
    action->inFlight = true;
    action->nextAttemptAt = now + kRetryDelay;
    const auto& id = action->id;
    const auto path =
        action->isCancellation ? jobPath(id) + protocol::paths::kCancel : protocol::paths::kSubmissions;
    const auto body = action->isCancellation ? std::string() : encodeSubmission(oracle_.job(id).spec);
    http_.request(controllers_[action->controller].address, "POST", path, body, kSubmissionTimeout,
                  [this, action, knownBefore = knownState(id)](const HttpResult& outcome) {
                      action->inFlight = false;
                      handleActionResponse(*action, knownBefore, outcome);
                  });
}

void Users::handleActionResponse(Action& action, const KnownState& knownBefore, const HttpResult& outcome) {
    auto& facts = oracle_.job(action.id);
    checkResponse(action.id, action.controller, knownBefore, outcome);
    const bool refused = outcome.status == 400 || outcome.status == 404 || outcome.status == 422;
    oracle_.require(!refused, action.id + " was rejected with HTTP status " + std::to_string(outcome.status));
    action.isComplete = outcome.status == 200 || outcome.status == 201;
    if (!action.isComplete) return;
    const auto now = Clock::now();
    if (!action.isCancellation) {
        facts.accepted = true;
        for (const auto& dependency : facts.spec.dependencies)
            if (oracle_.job(dependency).cancelConfirmed) oracle_.markCancelConfirmed(action.id, now);
    } else if (facts.terminalState == JobState::cancelled) {
        oracle_.markCancelConfirmed(action.id, now);
    }
}

/// Polls or resubmits the accepted jobs in turn, each at each controller.
void Users::sendNextRequest() {
    std::vector<std::string> accepted;
    for (const auto& [id, facts] : oracle_.jobs)
        if (facts.accepted) accepted.push_back(id);
    if (accepted.empty()) return;
    const auto number = requestsSent_++;
    const auto controller = number % controllers_.size();
    if (number % kUnknownJobEvery == 0) return pollUnknownJob(controller);
    const auto& id = accepted[number / controllers_.size() % accepted.size()];
    const auto round = number / controllers_.size() / accepted.size();
    if ((round + controller) % kResubmitEvery == 0)
        resubmit(id, controller);
    else
        poll(id, controller);
}

void Users::pollUnknownJob(std::size_t controller) {
    constexpr char kUnknownJob[] = "wk-999999";
    ++inFlightRequests_;
    http_.request(controllers_[controller].address, "GET", jobPath(kUnknownJob), "", kPollTimeout,
                  [this](const HttpResult& outcome) {
                      --inFlightRequests_;
                      oracle_.require(outcome.status != 200, "invented: a job that was never submitted");
                  });
}

void Users::poll(const std::string& id, std::size_t controller) {
    ++inFlightRequests_;
    http_.request(controllers_[controller].address, "GET", jobPath(id), "", kPollTimeout,
                  [this, id, controller, knownBefore = knownState(id)](const HttpResult& outcome) {
                      --inFlightRequests_;
                      checkResponse(id, controller, knownBefore, outcome);
                  });
}

void Users::resubmit(const std::string& id, std::size_t controller) {
    ++inFlightRequests_;
    http_.request(controllers_[controller].address, "POST", protocol::paths::kSubmissions,
                  encodeSubmission(oracle_.job(id).spec), kSubmissionTimeout,
                  [this, id, controller, knownBefore = knownState(id)](const HttpResult& outcome) {
                      --inFlightRequests_;
                      checkResponse(id, controller, knownBefore, outcome);
                  });
}

void Users::checkResponse(const std::string& id, std::size_t controller, const KnownState& knownBefore,
                          const HttpResult& outcome) {
    const auto status = outcome.status;
    const auto context = id + " at " + controllers_[controller].name;
    if (knownBefore.accepted) {
        const bool refused = status == 400 || status == 404 || status == 422;
        oracle_.require(!refused, "forgotten: " + context + " answered " + std::to_string(status));
        oracle_.require(status != 201, "forgotten: " + context + " was accepted as a new job");
    }
    if (status != 200 && status != 201) return;
    try {
        const auto handle = protocol::unpackBody(outcome.body);
        const protocol::MapReader fields(handle.get());
        const auto state = parseState(fields.text("bearing"));
        oracle_.require(fields.text("uid") == id, context + " answered for another job");
        checkState(id, knownBefore, state);
        auto& highest = highestDoneCounts_[id];
        highest = std::max(highest, static_cast<std::uint32_t>(fields.integerOr("done", 0)));
        answeredStates_.emplace(controller, id, state);
    } catch (const protocol::MalformedMessage& error) {
        oracle_.require(false, context + " gave a malformed answer: " + error.what());
    }
}

void Users::checkState(const std::string& id, const KnownState& knownBefore, JobState state) {
    auto& facts = oracle_.job(id);
    oracle_.require(!knownBefore.terminalState || state == *knownBefore.terminalState, "went_back: " + id);
    // The documented rule allows `cancel_s` until dependents of a cancelled job are cancelled. This check
    // allows no delay, because the states of all dependents follow from the record of the cancelled job.
    oracle_.require(!knownBefore.cancelled || state == JobState::cancelled, "orphaned: " + id);
    if (!isTerminal(state)) return;
    oracle_.require(state != JobState::done || facts.allCompleted(),
                    "not_done: " + id + " is reported done with incomplete tasks");
    oracle_.require(state != JobState::cancelled || facts.cancelRequested,
                    "went_back: " + id + " is reported cancelled without a request");
    oracle_.require(!facts.terminalState || facts.terminalState == state,
                    "went_back: " + id + " has two terminal states");
    facts.terminalState = state;
}

std::uint32_t Users::highestDoneCount(const std::string& id) const {
    const auto found = highestDoneCounts_.find(id);
    return found == highestDoneCounts_.end() ? 0 : found->second;
}

bool Users::hasAnswered(std::size_t controller, const std::string& id, JobState state) const {
    return answeredStates_.contains({controller, id, state});
}

}  // namespace burlpoint::tests
