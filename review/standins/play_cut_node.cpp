// A controller is cut from the key-value store and from the other controllers, while users still reach it.

#include <iostream>
#include <sstream>

#include "balancer.h"
#include "protocol/msgpack_codec.h"
#include "stage.h"

using namespace review;
using namespace burlpoint;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kUsers = 9;
constexpr double kForgottenS = 90;  // PROTOCOL, rule `forgotten`
constexpr double kCutS = 101;

/// A user with one job, who keeps one connection until a side closes it.
class User {
  public:
    User(asio::io_context& io, Balancer& balancer, Record& record, protocol::JobSpec spec)
        : io_(io), balancer_(balancer), record_(record), spec_(std::move(spec)) {}

    struct Poll {
        double sent = 0;
        bool answered = false;
    };

    void step(Time now) {
        if (busy_ || now < next_) return;
        if (!wire_ || !wire_->usable()) {
            const auto node = balancer_.choose();
            if (!node) return;
            node_ = *node;
            wire_ = std::make_shared<Wire>(io_, balancer_.address(*node));
            balancer_.opened(*node, wire_);
            record_.write("user of " + spec_.id + ": connects to controller-" + std::to_string(*node));
        }
        busy_ = true;
        if (!accepted_) return submit(now);
        next_ = now + 5s;
        const auto sent = record_.seconds();
        wire_->request("GET", "/submissions/" + spec_.id, "", Duration(2000), [this, sent](int status, std::string) {
            busy_ = false;
            polls_.push_back({sent, status == 200});
            note("poll", status);
        });
    }

    bool accepted() const { return accepted_; }
    std::size_t node() const { return node_; }
    const std::string& id() const { return spec_.id; }
    const std::vector<Poll>& polls() const { return polls_; }

  private:
    void submit(Time now) {
        protocol::MessagePacker packer;
        protocol::packSpec(packer, spec_);
        next_ = now + 1s;
        wire_->request("POST", "/submissions", packer.str(), Duration(5000), [this](int status, std::string) {
            busy_ = false;
            accepted_ = status == 200 || status == 201;
            note("submission", status);
        });
    }
    void note(const char* what, int status) {
        record_.write("user of " + spec_.id + ": " + what + " at controller-" + std::to_string(node_) + " answered " +
                      (status ? std::to_string(status) : "nothing"));
    }

    asio::io_context& io_;
    Balancer& balancer_;
    Record& record_;
    protocol::JobSpec spec_;
    std::shared_ptr<Wire> wire_;
    std::vector<Poll> polls_;
    std::size_t node_ = 0;
    bool busy_ = false, accepted_ = false;
    Time next_{};
};

protocol::JobSpec service(std::size_t number) {
    protocol::JobSpec spec;
    spec.id = "wk-00010" + std::to_string(number);
    spec.jobClass = "claimdesk-portal";
    spec.team = "team";
    spec.kind = protocol::JobKind::service;
    spec.priority = protocol::Priority::production;
    spec.tasks = 1;
    spec.cpus = 4;
    spec.memoryGb = 6.1;
    spec.image = "image-1";
    spec.imageGb = 1.8;
    return spec;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return 2;
    const char* variable = std::getenv("TROUBLE");
    const bool trouble = !variable || std::string(variable) != "0";
    std::vector<std::string> command;
    std::istringstream words(argv[2]);
    for (std::string word; words >> word;) command.push_back(word);
    Record record(argv[1]);
    Stage stage(command, {});
    stage.fakeUsers = false;
    stage.startAll();
    Balancer balancer(stage.io, {stage.address(0), stage.address(1), stage.address(2)}, record);
    std::vector<std::unique_ptr<User>> users;
    const auto step = [&] {
        stage.step();
        const auto now = Clock::now();
        balancer.step(now);
        for (const auto& user : users) user->step(now);
    };
    const auto until = [&](double seconds, const std::function<bool()>& condition) {
        const auto end = record.seconds() + seconds;
        while (record.seconds() < end && !condition()) step();
        return condition();
    };
    if (!until(10, [&] { return stage.leader().has_value(); })) return 2;
    until(3, [] { return false; });
    for (std::size_t i = 0; i < kUsers; ++i) {
        auto spec = service(i);
        stage.oracle.jobs[spec.id].spec = spec;
        users.push_back(std::make_unique<User>(stage.io, balancer, record, spec));
        until(0.2, [] { return false; });
    }
    const auto allAccepted = [&] {
        return std::all_of(users.begin(), users.end(), [](const auto& user) { return user->accepted(); });
    };
    if (!until(8, allAccepted)) return 2;
    const auto cut = *stage.leader();
    record.write("the leader is " + Stage::nameOf(cut));
    if (trouble) {
        record.write("from now on " + Stage::nameOf(cut) + " is cut from the state service and the other controllers");
        stage.storeProxy(cut).cut(true);
        stage.cutPeers(cut, true);
    }
    until(kCutS, [] { return false; });
    record.write("the cut ends");
    stage.storeProxy(cut).heal();
    stage.healPeers(cut);
    until(1, [] { return false; });

    bool broken = false;
    std::size_t answered = 0, all = 0;
    for (const auto& user : users)
        for (const auto& poll : user->polls()) ++all, answered += poll.answered;
    for (const auto& user : users) {
        double first = -1, longest = 0;
        std::size_t failed = 0;
        for (const auto& poll : user->polls()) {
            if (poll.answered) {
                first = -1;
                failed = 0;
                continue;
            }
            if (first < 0) first = poll.sent;
            ++failed;
            longest = std::max(longest, poll.sent - first);
        }
        record.write("job " + user->id() + ": " + std::to_string(user->polls().size()) +
                     " polls; every poll failed for " + std::to_string(longest) + " s");
        broken |= longest >= kForgottenS;
    }
    record.write("of all polls " + std::to_string(answered) + " of " + std::to_string(all) + " were answered");
    for (const auto& violation : stage.oracle.violations) record.write("also seen: " + violation);
    if (!stage.oracle.violations.empty() && !broken) return 2;
    broken = broken && answered * 2 > all;
    record.write(broken ? "forgotten: the rule was broken" : "the rule held");
    return broken ? 1 : 0;
}
