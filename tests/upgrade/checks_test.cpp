// The checks that the upgrade tests rely on: each is shown a controller or a store that breaks its rule and
// has to name it, and one that keeps all rules, of which it has to say nothing.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "protocol/msgpack_codec.h"
#include "transport/endpoint.h"
#include "transport/executor.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "upgrade/machines.h"
#include "upgrade/store_check.h"
#include "upgrade/users.h"

using namespace burlpoint::tests;
using burlpoint::Clock;
using burlpoint::Seconds;
using burlpoint::protocol::CommandKind;
using burlpoint::protocol::JobKind;
using burlpoint::protocol::JobSpec;
using burlpoint::protocol::JobState;
using burlpoint::protocol::WorkerCommand;
using burlpoint::storage::TerminalState;
using burlpoint::transport::Reply;
using burlpoint::transport::Request;
using burlpoint::transport::Response;
namespace protocol = burlpoint::protocol;
namespace storage = burlpoint::storage;
namespace transport = burlpoint::transport;

namespace {

constexpr char kJob[] = "wk-1";
constexpr char kDependent[] = "wk-2";
constexpr auto kStep = std::chrono::milliseconds(5);

JobSpec job(const std::string& id, std::vector<std::string> needs = {}) {
    JobSpec spec;
    spec.id = id;
    spec.jobClass = "class";
    spec.team = "team";
    spec.kind = JobKind::array;
    spec.tasks = 2;
    spec.cpus = spec.memoryGb = 1;
    spec.image = "image";
    spec.imageGb = 1;
    spec.estimatedRunTime = Seconds(1);
    spec.dependencies = std::move(needs);
    return spec;
}

std::string nameRule(const Rules& rules) { return rules.broken.empty() ? "" : rules.broken.front(); }

/// Something that answers HTTP requests as the test says, at an address of its own.
class ScriptedController {
  public:
    using Script = std::function<Response(const Request&)>;

    explicit ScriptedController(asio::io_context& io)
        : server_(io, transport::parseEndpoint("127.0.0.1:0"), {},
                  [this](Request&& request, const Reply& reply) { serve(request, reply); }) {}

    Controller address() const {
        return {"scripted", "127.0.0.1:" + std::to_string(server_.localEndpoint().port())};
    }
    Script script;
    std::size_t answered = 0;

  private:
    void serve(const Request& request, const Reply& reply) {
        ++answered;
        reply(script(request));
    }

    transport::HttpServer server_;
};

// --- what users are told ----------------------------------------------------------------------------------

class UsersCheck : public testing::Test {
  protected:
    UsersCheck() {
        controller.script = [this](const Request& request) { return answerTruthfully(request); };
    }

    /// A job that the controller has accepted and whose tasks have all completed.
    void submitCompleted(const std::string& id, std::vector<std::string> needs = {}) {
        users.submit(job(id, std::move(needs)), 0);
        stepUntil([&] { return rules.job(id).accepted; });
        for (std::uint32_t task = 0; task < rules.job(id).spec.tasks; ++task)
            rules.job(id).completed.insert(task);
    }
    void stepUntil(const std::function<bool()>& holds) {
        while (!holds()) {
            users.step(Clock::now());
            io.run_for(kStep);
        }
    }
    void stepUntilBroken(const std::string& rule) {
        stepUntil([&] { return !rules.broken.empty(); });
        EXPECT_TRUE(nameRule(rules).starts_with(rule)) << nameRule(rules);
    }
    void stepForQuestions(std::size_t count) {
        stepUntil([&, until = controller.answered + count] { return controller.answered >= until; });
    }
    Response answerTruthfully(const Request& request) const {
        Response response;
        const auto id = idOf(request);
        if (!rules.jobs.contains(id)) {
            response.status = 404;
            return response;
        }
        const bool first = request.path == protocol::paths::kSubmissions && !rules.jobs.at(id).accepted;
        response.status = first ? 201 : 200;
        response.body = protocol::jobReply(id, states.contains(id) ? states.at(id) : JobState::queued);
        return response;
    }
    static std::string idOf(const Request& request) {
        if (request.path == protocol::paths::kSubmissions)
            return protocol::decodeSpec(protocol::unpackBody(request.body).get()).id;
        const auto start = std::string(protocol::paths::kSubmissions).size() + 1;
        return request.path.substr(start, request.path.find('/', start) - start);
    }

    asio::io_context io{1};
    Rules rules;
    std::map<std::string, JobState> states;  // as the controller tells them
    ScriptedController controller{io};
    Users users{io, rules, {controller.address()}};
};

}  // namespace

TEST_F(UsersCheck, TruthfulAnswersBreakNoRule) {
    submitCompleted(kJob);
    submitCompleted(kDependent, {kJob});
    stepForQuestions(30);
    states[kJob] = JobState::done;
    stepUntil([&] { return rules.job(kJob).terminalState.has_value(); });
    states[kDependent] = JobState::cancelled;
    users.cancel(kDependent, 0);
    stepUntil([&] { return rules.job(kDependent).cancelConfirmed.has_value(); });
    stepForQuestions(30);
    EXPECT_EQ(rules.broken, std::vector<std::string>());
}

TEST_F(UsersCheck, AJobThatIsNoLongerDoneHasGoneBack) {
    submitCompleted(kJob);
    states[kJob] = JobState::done;
    stepUntil([&] { return rules.job(kJob).terminalState.has_value(); });
    states[kJob] = JobState::running;
    stepUntilBroken("went_back");
}

TEST_F(UsersCheck, ACancellationThatNobodyAskedForIsNamed) {
    submitCompleted(kJob);
    states[kJob] = JobState::cancelled;
    stepUntilBroken("went_back");
}

TEST_F(UsersCheck, ADependentThatStaysPendingIsOrphaned) {
    submitCompleted(kJob);
    submitCompleted(kDependent, {kJob});
    states[kJob] = JobState::cancelled;
    users.cancel(kJob, 0);
    stepUntilBroken(std::string("orphaned: ") + kDependent);
}

TEST_F(UsersCheck, ADoneJobWithAnOpenTaskIsNotDone) {
    submitCompleted(kJob);
    rules.job(kJob).completed.erase(1);
    states[kJob] = JobState::done;
    stepUntilBroken("not_done");
}

TEST_F(UsersCheck, AnAcceptedJobThatIsUnknownIsForgotten) {
    submitCompleted(kJob);
    controller.script = [](const Request& request) {
        Response response;
        response.status = request.method == "GET" ? 404 : 503;
        return response;
    };
    stepUntilBroken("forgotten");
}

TEST_F(UsersCheck, AnAcceptedJobThatIsAcceptedAnewIsForgotten) {
    submitCompleted(kJob);
    controller.script = [this](const Request& request) {
        auto response = answerTruthfully(request);
        if (request.method == "POST") response.status = 201;
        return response;
    };
    stepUntilBroken("forgotten");
}

TEST_F(UsersCheck, AStateOfAJobThatNobodySubmittedIsInvented) {
    submitCompleted(kJob);
    controller.script = [](const Request& request) {
        Response response;
        response.body = protocol::jobReply(idOf(request), JobState::queued);
        return response;
    };
    stepUntilBroken("invented");
}

TEST_F(UsersCheck, AnAnswerForAnotherJobIsNamed) {
    submitCompleted(kJob);
    controller.script = [this](const Request& request) {
        auto response = answerTruthfully(request);
        if (response.status == 200) response.body = protocol::jobReply(kDependent, JobState::queued);
        return response;
    };
    stepUntilBroken(std::string(kJob) + " at scripted answered for another job");
}

// --- what runs where --------------------------------------------------------------------------------------

namespace {

/// Two machines in different zones that heartbeat to a controller, which gives each the orders of the test
/// once.
class MachinesCheck : public testing::Test {
  protected:
    MachinesCheck() {
        settings.heartbeatInterval = Seconds(0.1);
        settings.workerLease = Seconds(600);
        settings.cancelTimeout = Seconds(0);
        type.name = "plain";
        type.cpus = type.memoryGb = 8;
        controller.script = [this](const Request& request) { return answerHeartbeat(request); };
        for (const char* zone : {"a", "b"}) machines.create(type, zone);
    }

    void submitKnown(const JobSpec& spec) { rules.jobs[spec.id].spec = spec; }
    void startOn(const std::string& zone, std::uint32_t task, std::uint64_t attempt) {
        commands[zone].push_back({CommandKind::start, {kJob, task, attempt}, Seconds(0)});
    }
    void stepUntil(const std::function<bool()>& holds) {
        while (!holds()) {
            machines.step(Clock::now());
            io.run_for(kStep);
        }
    }
    void stepUntilBroken(const std::string& rule) {
        stepUntil([&] { return !rules.broken.empty(); });
        EXPECT_TRUE(nameRule(rules).starts_with(rule)) << nameRule(rules);
    }
    void stepUntilStarted(std::uint64_t starts) {
        stepUntil([&] { return machines.starts(kJob) == starts; });
    }

    asio::io_context io{1};
    Rules rules;
    protocol::Settings settings;
    protocol::MachineType type;
    std::map<std::string, std::vector<WorkerCommand>> commands;  // by zone, not sent yet
    bool dependencyDone = false;
    ScriptedController controller{io};
    Machines machines{
        io, rules, settings, {controller.address()}, [this](const std::string&) { return dependencyDone; }};

  private:
    Response answerHeartbeat(const Request& request) {
        const auto heartbeat = protocol::decodeHeartbeat(request.body);
        Response response;
        response.body = protocol::encodeHeartbeatResponse(1, std::exchange(commands[heartbeat.zone], {}));
        return response;
    }
};

}  // namespace

TEST_F(MachinesCheck, StartsThatKeepTheRulesBreakNone) {
    auto spec = job(kJob, {kDependent});
    spec.zone = "a";
    submitKnown(spec);
    dependencyDone = true;
    startOn("a", 0, 1);
    startOn("a", 1, 2);
    stepUntilStarted(2);
    EXPECT_EQ(rules.broken, std::vector<std::string>());
}

TEST_F(MachinesCheck, ATaskOnTwoMachinesRanTwice) {
    submitKnown(job(kJob));
    startOn("a", 0, 1);
    stepUntilStarted(1);
    startOn("b", 0, 2);
    stepUntilBroken("ran_twice");
}

TEST_F(MachinesCheck, AStartBeforeADependencyIsDoneIsTooEarly) {
    submitKnown(job(kJob, {kDependent}));
    startOn("a", 0, 1);
    stepUntilBroken("too_early");
}

TEST_F(MachinesCheck, AStartInAnotherZoneIsInTheWrongPlace) {
    auto spec = job(kJob);
    spec.zone = "a";
    submitKnown(spec);
    startOn("b", 0, 1);
    stepUntilBroken("wrong_place");
}

TEST_F(MachinesCheck, AStartAfterACancellationRanCancelled) {
    submitKnown(job(kJob));
    rules.noteCancelled(kJob, Clock::now());
    startOn("a", 0, 1);
    stepUntilBroken("ran_cancelled: a start of");
}

TEST_F(MachinesCheck, ATaskThatIsLeftAfterACancellationRanCancelled) {
    submitKnown(job(kJob));
    startOn("a", 0, 1);
    stepUntilStarted(1);
    rules.noteCancelled(kJob, Clock::now());
    stepUntilBroken("ran_cancelled: a task of");
}

TEST_F(MachinesCheck, AStartOfAnUnknownJobIsNamed) {
    startOn("a", 0, 1);
    stepUntilBroken("a start of an unknown task");
}

// --- what is stored ---------------------------------------------------------------------------------------

namespace {

class StoredCheck : public testing::Test {
  protected:
    StoredCheck() { rules.jobs[kJob].spec = job(kJob); }

    void write(const std::string& key, std::optional<std::string> value) {
        std::vector<std::string> failed;
        ASSERT_GT(store.transact({}, {{key, std::move(value)}}, failed), 0u);
        check.step();
    }
    void writeRecord(TerminalState terminalState, const std::string& id = kJob) {
        storage::JobRecord record;
        record.spec = job(id);
        record.terminalState = terminalState;
        record.chunkTasks = 4;
        write(storage::keys::job(id), storage::encodeJob(record));
    }
    void writeBits(const std::vector<bool>& bits) {
        write(storage::keys::doneChunk(kJob, 0), storage::encodeBits(bits, 0, bits.size()));
    }
    void complete(std::initializer_list<std::uint32_t> tasks) { rules.job(kJob).completed = tasks; }

    Rules rules;
    Store store;
    StoreCheck check{rules, store};
};

}  // namespace

TEST_F(StoredCheck, AJobThatRunsToItsEndBreaksNoRule) {
    write(storage::keys::kToken, storage::encodeToken(1));
    write(storage::keys::kLeader, storage::encodeLeader({"one", 1}));
    writeRecord(TerminalState::none);
    complete({0});
    writeBits({true, false});
    complete({0, 1});
    writeRecord(TerminalState::done);
    write(storage::keys::doneChunk(kJob, 0), std::nullopt);
    write(storage::keys::kToken, storage::encodeToken(2));
    EXPECT_EQ(rules.broken, std::vector<std::string>());
    EXPECT_EQ(check.leaderships(), 1u);
    EXPECT_TRUE(check.isDone(kJob));
}

TEST_F(StoredCheck, ATokenThatFallsIsNamed) {
    write(storage::keys::kToken, storage::encodeToken(2));
    write(storage::keys::kToken, storage::encodeToken(1));
    EXPECT_EQ(nameRule(rules), "the token went from 2 to 1");
}

TEST_F(StoredCheck, ATokenUsedByTwoLeadersIsNamed) {
    write(storage::keys::kLeader, storage::encodeLeader({"one", 1}));
    write(storage::keys::kLeader, storage::encodeLeader({"two", 1}));
    EXPECT_EQ(nameRule(rules), "token 1 of two was used before");
}

TEST_F(StoredCheck, AnEndThatChangesIsNamed) {
    writeRecord(TerminalState::cancelled);
    writeRecord(TerminalState::none);
    EXPECT_EQ(nameRule(rules), std::string("the stored end of ") + kJob + " has changed");
}

TEST_F(StoredCheck, ADeletedRecordIsNamed) {
    writeRecord(TerminalState::none);
    write(storage::keys::job(kJob), std::nullopt);
    EXPECT_EQ(nameRule(rules), std::string("the record of ") + kJob + " was deleted");
}

TEST_F(StoredCheck, ARecordOfAJobThatNobodySubmittedIsNamed) {
    writeRecord(TerminalState::none, kDependent);
    EXPECT_EQ(nameRule(rules), std::string("a record of ") + kDependent + ", which nobody submitted");
}

TEST_F(StoredCheck, AnEndBeforeTheLastTaskIsNotDone) {
    complete({0});
    writeRecord(TerminalState::done);
    EXPECT_EQ(nameRule(rules), std::string("not_done: ") + kJob + " is stored as done");
}

TEST_F(StoredCheck, ABitOfAnOpenTaskIsNotDone) {
    writeRecord(TerminalState::none);
    writeBits({true, false});
    EXPECT_EQ(nameRule(rules), std::string("not_done: the bit of ") + kJob + "/0");
}

TEST_F(StoredCheck, ABitThatIsLostIsNamed) {
    writeRecord(TerminalState::none);
    complete({0});
    writeBits({true, false});
    writeBits({false, false});
    EXPECT_EQ(nameRule(rules), std::string("the bit of ") + kJob + "/0 was lost");
}

TEST_F(StoredCheck, BitsDeletedBeforeTheEndAreNamed) {
    writeRecord(TerminalState::none);
    writeBits({false, false});
    write(storage::keys::doneChunk(kJob, 0), std::nullopt);
    EXPECT_EQ(nameRule(rules), std::string("bits of ") + kJob + " were deleted too early");
}

int main(int argc, char** argv) {
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
