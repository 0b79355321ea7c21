#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/leader.h"
#include "state_stub.h"

namespace burlpoint::coordination {

class LeaderProbe {
  public:
    static std::uint64_t visited(const Leader& l) { return l.visited_; }
    /// Where the fleet's indexes and running totals differ from a recount, in words.
    static std::string recount(const Leader& l) {
        std::string out;
        std::map<std::string, Resources> teams;
        std::map<const Job*, std::map<std::string, std::uint32_t>> machines, zones;
        std::map<Shape, std::uint32_t> unsettled;
        const auto differs = [](const Resources& a, const Resources& b) {
            return std::abs(a.cpus - b.cpus) + std::abs(a.gpus - b.gpus) + std::abs(a.memoryGb - b.memoryGb) >
                   1e-6;
        };
        for (const auto& [id, m] : l.fleet_.machines()) {
            Resources used;
            std::array<Resources, 5> plain;
            std::array<Resources, 4> stoppable;
            for (const auto& [key, place] : m->places) {
                const auto& spec = place.job->spec;
                const auto need = bookkeeping::needOf(spec);
                const auto priority = static_cast<std::size_t>(spec.priority);
                const bool service = spec.kind == protocol::Kind::service;
                used += need;
                teams[spec.team] += need;
                if (spec.gpus <= 0) plain[service ? 4 : priority] += need;
                if (!service && (spec.kind == protocol::Kind::array || spec.tasks == 1))
                    stoppable[priority] += need;
                ++machines[place.job][id];
                ++zones[place.job][m->zone];
            }
            if (differs(used, m->used)) out += "use of " + id + "; ";
            for (std::size_t i = 0; i < 5; ++i)
                if (differs(plain[i], m->plainUse[i])) out += "plain use of " + id + "; ";
            for (std::size_t i = 0; i < 4; ++i)
                if (differs(stoppable[i], m->stoppable[i])) out += "stoppable on " + id + "; ";
            if (m->roster == bookkeeping::RosterState::stored && !m->settled)
                ++unsettled[{m->type, m->zone, m->spot}];
            for (const auto& [image, gb] : m->images) {
                const auto& with = l.fleet_.withImage(image);
                if (std::count(with.begin(), with.end(), m.get()) != 1) out += "image on " + id + "; ";
            }
        }
        for (const auto& [team, use] : teams)
            if (differs(use, l.fleet_.teamUse(team))) out += "use of team " + team + "; ";
        if (unsettled != l.fleet_.unsettled()) out += "unsettled machines; ";
        for (const auto& [id, job] : l.mirror_.jobs())
            if (job->run &&
                (job->run->machines != machines[job.get()] || job->run->zones != zones[job.get()]))
                out += "machines of " + id + "; ";
        return out;
    }
    static std::string writing(const Leader& l) {
        return "writing " + std::to_string(l.writing_) + " refreshing " + std::to_string(l.refreshing_) +
               " unstored " + std::to_string(l.unstored_.size()) + " roster +" +
               std::to_string(l.rosterAdd_.size()) + " -" + std::to_string(l.rosterDrop_.size());
    }
};

}  // namespace burlpoint::coordination

namespace burlpoint::tests {

using namespace std::chrono_literals;
using coordination::Leader;
using protocol::JobSpec;
using protocol::Kind;
using protocol::Order;
using protocol::Report;
using protocol::Seconds;
using transport::Clock;
using transport::Time;

/// Leaders that come and go over workers, a cloud, a store and a network that loses, delays and reorders
/// whatever PROTOCOL lets it. After each start on a worker the rules are checked.
class World {
  public:
    struct Faults {
        double lose = 0.03;     // a message
        double late = 0.03;     // a direct order, transaction or cloud request carried out much later
        double crash = 0.01;    // the leader, per second
        double die = 0.002;     // a worker, per second
        double hang = 0.003;    // a worker, for up to its lease and beyond, per second
        double cut = 0.005;     // a worker from the controllers, per second
        double error = 0.02;    // a task
        double recall = 0.002;  // a spot machine, per second
        double deaf = 0.003;    // a worker whose reports arrive and that nothing reaches, per second
        double copy = 0.05;     // a report of which a copy comes again, up to several leases later
        double back = 0.001;    // a worker that ends and is back at once, per second
        double anew = 0.0005;   // the same, and it counts its reports from the beginning
        double sever = 0.003;   // the leader from the store, not from the workers, per second
    };

    World(std::uint64_t seed, Faults faults) : faults_(faults), random_(seed) {
        settings.name = "leader";
        settings.zones = {"a", "b"};
        settings.teams = {{"small", 0, 12, 0, 0}, {"large", 8, 0, 0, 0}, {"third", 4, 30, 0, 2}};
        settings.report = Seconds(2);
        settings.lease = Seconds(12);
        settings.gangWait = Seconds(20);
        settings.gangPeer = Seconds(4);
        settings.cancel = Seconds(45);
        settings.txnOps = 6;
        settings.stateWriteRps = 40;
        settings.cloudRps = 5;
        settings.listLag = Seconds(4);
        types_ = {{"cpu", 8, 0, 32, 10, 0.5, 1.0, 0.3, Seconds(4), {"a", "b"}},
                  {"gpu", 8, 2, 32, 10, 0.5, 3.0, 1.0, Seconds(6), {"a", "b"}}};
        std::vector<std::string> failed;
        store.transact({},
                       {{storage::keys::kToken, storage::encodeToken(1), 0},
                        {storage::keys::kTypes, protocol::encodeMachineTypes(types_), 0}},
                       failed);
    }

    protocol::Settings settings;
    protocol::Policy policy;
    Store store;
    std::vector<std::string> broken;  // rules, in words
    std::size_t starts = 0, takeOvers = 0, lateWrites = 0;
    std::set<std::string> completed;  // "job/task"

    void submit(JobSpec spec) {
        std::vector<std::string> failed;
        const storage::JobRecord record{spec, storage::Final::open, 0, 0, 4};
        store.transact({{storage::keys::job(spec.id), 0}},
                       {{storage::keys::job(spec.id), storage::encodeJob(record), 0}}, failed);
        specs_[spec.id] = std::move(spec);
    }
    void cancel(const std::string& id) {
        const auto key = storage::keys::job(id);
        const auto& value = store.values.at(key);
        auto record = storage::decodeJob(protocol::unpackBody(value.data).get());
        if (record.final != storage::Final::open) return;
        record.final = storage::Final::cancelled;
        std::vector<std::string> failed;
        store.transact({{key, value.version}}, {{key, storage::encodeJob(record), 0}}, failed);
        cancelled_[id] = now_;
    }
    storage::Final finalOf(const std::string& id) const {
        return storage::decodeJob(protocol::unpackBody(store.values.at(storage::keys::job(id)).data).get())
            .final;
    }
    const std::map<std::string, JobSpec>& jobs() const { return specs_; }
    void calm() { faults_ = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}; }

    void run(Seconds time) {
        const auto end = now_ + std::chrono::duration_cast<Clock::duration>(time);
        while (now_ < end) {
            now_ += 100ms;
            step();
        }
    }
    std::string runningOn() const {
        std::string out;
        for (const auto& [id, w] : workers_)
            for (const auto& [a, t] : w.tasks)
                if (present(w) && t.state != protocol::TaskState::exited)
                    out += a.job + "/" + std::to_string(a.task) + "@" + id + " ";
        return out;
    }
    /// Why a job may not be getting on, for a failure's message.
    std::string explain(const std::string& id) {
        const auto& s = specs_.at(id);
        std::string out = id + " team " + s.team + " kind " + std::to_string(static_cast<int>(s.kind)) +
                          " tasks " + std::to_string(s.tasks) + " cpus " + std::to_string(s.cpus) + " gpus " +
                          std::to_string(s.gpus) + " zone " + s.zone.value_or("-") + " together " +
                          std::to_string(s.oneZone) + " apart " + std::to_string(s.spread);
        if (!tenant_) return out + ": no leader";
        const auto* job = tenant_->mirror.find(id);
        out += ": done " + std::to_string(job->doneCount);
        if (job->run)
            out += " waiting " + std::to_string(job->run->waiting) + " possible " +
                   std::to_string(job->run->liveTotal) + " unstored " +
                   std::to_string(job->run->unstored.size()) + " errors on " +
                   std::to_string(job->run->errorMachines.size());
        out += "; last conflict " + lastFailed_ + "; " + coordination::LeaderProbe::writing(*tenant_->leader);
        for (const auto& [name, m] : tenant_->leader->fleet().machines())
            out += "\n  " + name + " " + m->type + "/" + m->zone + (m->spot ? "/spot" : "") + " heard " +
                   std::to_string(m->heard) + " settled " + std::to_string(m->settled) + " roster " +
                   std::to_string(static_cast<int>(m->roster)) + " draining " + std::to_string(m->draining) +
                   " releasing " + std::to_string(m->releasing) + " errors " +
                   std::to_string(m->errorJobs.size()) + " tasks " + std::to_string(m->places.size());
        return out;
    }
    double random01() { return std::uniform_real_distribution<>(0, 1)(random_); }
    int below(int n) { return std::uniform_int_distribution<>(0, n - 1)(random_); }

  private:
    using Attempt = protocol::Attempt;
    using TaskState = protocol::TaskState;
    using ExitReason = protocol::ExitReason;

    struct Task {
        TaskState state = TaskState::fetching;
        ExitReason why = ExitReason::none;
        Time next{};  // end of the fetch, the run or the saving
        Time since{};
    };
    struct Worker {
        std::string id, type, zone;
        bool spot = false, up = false, dead = false;
        Time bootAt{}, hungUntil{}, cutUntil{}, deafUntil{};
        std::optional<Time> recallAt;
        double drift = 1;
        std::uint64_t session = 1, sequence = 0, token = 0;
        std::map<Attempt, Task> tasks;
        Time answeredSent{};  // when the last answered report was sent
        std::uint64_t inFlight = 0;
        Time reportSent{}, nextReport{};
        bool changed = false;
    };
    /// One leadership: its messages name it, and it may be gone when answers come.
    struct Tenant {
        std::uint64_t token = 0;
        bookkeeping::Mirror mirror;
        std::size_t read = 0;
        std::unique_ptr<Leader> leader;
        Time tenureEnds = Time::max();  // severed from the store, it leads until then
        bool severed() const { return tenureEnds != Time::max(); }
    };

    Clock::duration span(double from, double to) {
        return std::chrono::duration_cast<Clock::duration>(
            Seconds(std::uniform_real_distribution<>(from, to)(random_)));
    }
    bool chance(double p) { return random01() < p; }
    void at(Clock::duration delay, std::function<void()> what) {
        events_.emplace(now_ + delay, std::move(what));
    }
    bool present(const Worker& w) const {
        return w.up && !w.dead && Seconds(now_ - w.answeredSent).count() * w.drift <= settings.lease.count();
    }

    void step() {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
        const double perStep = 0.1;
        if (!tenant_ && now_ >= electionAt_) takeOver();
        if (tenant_ && chance(faults_.crash * perStep)) crash();
        if (tenant_ && !tenant_->severed() && chance(faults_.sever * perStep))
            tenant_->tenureEnds = now_ + span(1, 8);
        if (tenant_ && now_ >= tenant_->tenureEnds) crash();
        if (tenant_) {
            if (chance(0.5) && !tenant_->severed()) readStore(*tenant_);
            if (tenant_) tell(coordination::Tick{});
        }
        for (auto& [id, worker] : workers_) stepWorker(worker, perStep);
    }

    void crash() {
        tenant_.reset();
        // Back at once, or another node after the lease; nothing says that messages on the way are lost.
        electionAt_ = now_ + (chance(0.3) ? Clock::duration(200ms) : span(1, 8));
    }
    void takeOver() {
        ++takeOvers;
        auto tenant = std::make_shared<Tenant>();
        tenant->token =
            storage::decodeToken(protocol::unpackBody(store.values.at(storage::keys::kToken).data).get()) + 1;
        std::vector<std::string> failed;
        store.transact({}, {{storage::keys::kToken, storage::encodeToken(tenant->token), 0}}, failed);
        readStore(*tenant);
        tenant->leader = std::make_unique<Leader>(settings, policy, tenant->mirror, tenant->token, now_, 0);
        tenant_ = std::move(tenant);
    }
    void readStore(Tenant& tenant) {
        std::vector<bookkeeping::Change> changes;
        for (; tenant.read < store.log.size(); ++tenant.read) {
            const auto& event = store.log[tenant.read];
            msgpack::object_handle handle;
            if (event.data) handle = protocol::unpackBody(*event.data);
            tenant.mirror.apply({event.key, event.data ? &handle.get() : nullptr, event.version}, changes);
        }
        coordination::JobsChanged jobs;
        for (const auto& change : changes)
            if (change.kind == bookkeeping::ChangeKind::job) jobs.ids.push_back(change.id);
        if (tenant.leader && !jobs.ids.empty()) tell(std::move(jobs));
    }
    void tell(coordination::Command command) {
        if (!tenant_) return;
        const auto tenant = tenant_;
        auto actions = tenant->leader->handle(std::move(command), now_);
        if (++told_ % 16 == 0)
            if (const auto wrong = coordination::LeaderProbe::recount(*tenant->leader); !wrong.empty())
                broken.push_back("recount: " + wrong);
        for (auto& action : actions) {
            if (tenant_ != tenant) return;
            std::visit([&](auto& a) { perform(a); }, action);
        }
    }
    /// Tells the leadership that asked, unless it is gone.
    void tellLater(Clock::duration delay, std::uint64_t token, coordination::Command command) {
        at(delay, [this, token, command = std::move(command)]() mutable {
            if (tenant_ && tenant_->token == token) tell(std::move(command));
        });
    }

    // --- the network and the services ---

    void perform(coordination::AnswerReport& a) {
        const auto [worker, session] = reports_.at(a.request);
        if (!a.accepted || chance(faults_.lose)) return;
        const auto delay = chance(faults_.late) ? span(0, 8) : span(0, 0.2);
        at(delay, [this, id = worker, session = session, request = a.request, token = tenant_->token,
                   orders = a.orders] {
            auto* w = hearing(id);
            if (!w || w->inFlight != request || w->session != session) return;
            w->inFlight = 0;
            if (token < w->token) return;
            if (token > w->token) w->changed = true;
            w->token = token;
            w->answeredSent = w->reportSent;
            for (const auto& order : orders) execute(*w, order);
        });
    }
    void perform(coordination::SendOrders& a) {
        const auto token = tenant_->token;
        const bool late = chance(faults_.late);
        if (late || chance(faults_.lose))
            tellLater(2500ms, token, coordination::WorkerAnswered{a.machine, std::nullopt, a.known});
        else if (!hearing(a.machine))
            return tellLater(2500ms, token, coordination::WorkerAnswered{a.machine, std::nullopt, a.known});
        at(late ? span(3, 40) : span(0, 0.2), [this, late, token, a] {
            auto* w = hearing(a.machine);
            if (!w) return;
            if (token >= w->token && a.session == w->session) {
                if (token > w->token) w->changed = true;
                w->token = token;
                for (const auto& order : a.orders) execute(*w, order);
            }
            if (!late)
                tellLater(span(0, 0.2), token,
                          coordination::WorkerAnswered{a.machine, reportOf(*w), a.known});
        });
    }
    void perform(coordination::WriteState& a) {
        const auto token = tenant_->token;
        const auto write = [this](const coordination::WriteState& w) {
            storage::TxnResult result;
            if (const auto refusal = store.refusal(w.conditions, w.writes)) {
                result.status = *refusal;
                return result;
            }
            result.revision = store.transact(w.conditions, w.writes, result.failed);
            lastFailed_ = result.failed.empty() ? "" : result.failed.front();
            result.status = result.revision ? storage::TxnStatus::applied : storage::TxnStatus::conflict;
            return result;
        };
        if (a.writes.size() > settings.txnOps) broken.push_back("transaction over its limit");
        if (tenant_->severed() || chance(faults_.late)) {  // no answer; carried out later or never
            if (chance(0.7)) at(span(0, 25), [this, write, a] { lateWrites += write(a).revision != 0; });
            return tellLater(1500ms, token, coordination::StateWritten{});
        }
        if (chance(faults_.lose)) {
            storage::TxnResult refused;
            refused.status = storage::TxnStatus::refused;
            return tellLater(10ms, token, coordination::StateWritten{refused});
        }
        at(span(0, 0.1),
           [this, token, write, a] { tellLater(5ms, token, coordination::StateWritten{write(a)}); });
    }
    void perform(coordination::RefreshMirror&) {
        at(20ms, [this, token = tenant_->token] {
            if (!tenant_ || tenant_->token != token) return;
            if (tenant_->severed()) return tell(coordination::MirrorRefreshed{false});
            readStore(*tenant_);
            tell(coordination::MirrorRefreshed{true});
        });
    }
    void perform(coordination::Rent& a) {
        const auto token = tenant_->token;
        const auto rent = [this, request = a.request] {
            auto& made = rented_[request.name];
            if (!made.empty()) return made;
            for (std::uint32_t i = 0; i < request.count && alive() < 12; ++i) {
                Worker w;
                w.id = "m-" + std::to_string(100'000 + ++machines_);
                w.type = request.type;
                w.zone = request.zone;
                w.spot = request.spot;
                w.bootAt = now_ + span(0.5, 8);
                w.drift = 0.9995 + 0.001 * random01();
                made.push_back(w.id);
                workers_[w.id] = w;
            }
            return made;
        };
        if (chance(faults_.late)) {
            at(span(0, 20), [rent] { rent(); });
            coordination::RentalAnswered unknown;
            unknown.name = a.request.name;
            return tellLater(6s, token, unknown);
        }
        coordination::RentalAnswered answer;
        answer.name = a.request.name;
        answer.machines = rent();
        answer.rented = !answer.machines.empty();
        answer.noCapacity = !answer.rented;
        tellLater(span(0.1, 0.4), token, answer);
    }
    void perform(coordination::Release& a) {
        const auto remove = [this, a] {
            for (const auto& id : a.machines)
                if (const auto found = workers_.find(id); found != workers_.end()) found->second.dead = true;
        };
        const auto token = tenant_->token;
        if (chance(faults_.late)) {
            at(span(0, 20), remove);
            return tellLater(6s, token, coordination::ReleaseAnswered{a.machines, false});
        }
        at(span(0.05, 0.2), [this, remove, token, a] {
            remove();
            tellLater(50ms, token, coordination::ReleaseAnswered{a.machines, true});
        });
    }
    void perform(coordination::ListMachines&) {
        coordination::MachinesListed listed;
        listed.asked = now_;
        listed.ok = !chance(faults_.lose);
        for (const auto& [id, w] : workers_) {
            if (w.dead || now_ - w.bootAt < 0s) continue;
            listed.machines.push_back(
                {id, id, w.type, w.zone, w.spot, protocol::MachineState::running, Seconds(1)});
        }
        tellLater(span(0.1, 4), tenant_->token, std::move(listed));
    }
    void perform(coordination::ListTypes&) {
        tellLater(200ms, tenant_->token, coordination::TypesListed{types_});
    }
    void perform(coordination::Resign&) { crash(); }

    std::size_t alive() const {
        return static_cast<std::size_t>(
            std::count_if(workers_.begin(), workers_.end(), [](const auto& e) { return !e.second.dead; }));
    }

    // --- workers ---

    Worker* reachable(const std::string& id) {
        const auto found = workers_.find(id);
        if (found == workers_.end()) return nullptr;
        auto& w = found->second;
        return w.up && !w.dead && w.hungUntil <= now_ && w.cutUntil <= now_ ? &w : nullptr;
    }
    /// And what is sent to it gets there.
    Worker* hearing(const std::string& id) {
        auto* w = reachable(id);
        return w && w->deafUntil <= now_ ? w : nullptr;
    }
    Report reportOf(Worker& w) {
        Report r{w.id, w.id, w.type, w.zone, w.spot, w.session, ++w.sequence, w.token, {}, {}};
        if (w.recallAt) r.notice = std::max(Seconds(0), Seconds(*w.recallAt - now_));
        for (const auto& [attempt, task] : w.tasks) r.tasks.push_back({attempt, task.state, task.why, false});
        return r;
    }
    void stepWorker(Worker& w, double perStep) {
        if (w.dead) return;
        if (!w.up) {
            if (now_ < w.bootAt) return;
            w.up = true;
            w.answeredSent = now_;
        }
        if (chance(faults_.die * perStep) || (w.recallAt && now_ >= *w.recallAt)) {
            w.dead = true;
            w.tasks.clear();
            return;
        }
        if (chance(faults_.hang * perStep)) w.hungUntil = now_ + span(1, 18);
        if (chance(faults_.cut * perStep)) w.cutUntil = now_ + span(1, 25);
        if (chance(faults_.deaf * perStep)) w.deafUntil = now_ + span(3, 60);
        if (const bool anew = chance(faults_.anew * perStep); anew || chance(faults_.back * perStep)) {
            w.tasks.clear();
            w.session = anew ? 1 : w.session + 1;
            if (anew) w.sequence = w.token = 0;
            w.answeredSent = now_;
            w.inFlight = 0;
            w.changed = true;
        }
        if (w.spot && !w.recallAt && chance(faults_.recall * perStep)) w.recallAt = now_ + span(3, 9);
        if (w.hungUntil > now_) return;
        if (!present(w)) {
            w.tasks.clear();
            ++w.session;
            w.answeredSent = now_;
            w.inFlight = 0;
            w.changed = true;
        }
        for (auto& [attempt, task] : w.tasks) stepTask(w, attempt, task);
        if (w.inFlight && now_ - w.reportSent > 4s) {
            w.inFlight = 0;
            w.nextReport = now_ + 1s;
        }
        if (w.inFlight || now_ < w.nextReport) {
            if (!w.changed || w.inFlight || now_ - w.reportSent < 500ms) return;
        }
        w.changed = false;
        w.reportSent = now_;
        w.nextReport = now_ + span(1.5, 2.5);
        w.inFlight = ++requests_;
        reports_[w.inFlight] = {w.id, w.session};
        const auto report = reportOf(w);
        if (w.cutUntil > now_) {  // held back, and delivered when the cut ends
            if (chance(0.5))
                at(w.cutUntil - now_, [this, report, request = requests_] { arrive(report, request); });
            return;
        }
        if (chance(faults_.copy)) {
            const auto copy = ++requests_;  // nobody waits for its answer
            reports_[copy] = {w.id, w.session};
            at(span(0.1, chance(0.5) ? 3 : 50), [this, report, copy] { arrive(report, copy); });
        }
        if (chance(faults_.lose)) return;
        at(chance(faults_.late) ? span(0, 10) : span(0, 0.2),
           [this, report, request = w.inFlight] { arrive(report, request); });
    }
    void arrive(const Report& report, std::uint64_t request) {
        if (tenant_) tell(coordination::ReportArrived{request, report});
    }
    void exit(Worker& w, Task& task, ExitReason why) {
        task.state = TaskState::exited;
        task.why = why;
        w.changed = true;
    }
    void stepTask(Worker& w, const Attempt& attempt, Task& task) {
        const auto& spec = specs_.at(attempt.job);
        if (task.state == TaskState::fetching && now_ >= task.next) {
            w.changed = true;
            task.since = now_;
            task.state = spec.kind == Kind::gang && spec.tasks > 1 ? TaskState::waiting : TaskState::running;
            task.next = now_ + span(2, 12);
            checkPlace(w, attempt);
        }
        if (task.state == TaskState::waiting) {
            std::size_t ready = 0;
            for (const auto& [id, other] : workers_)
                for (const auto& [a, t] : other.tasks)
                    ready += present(other) && a.job == attempt.job && a.number == attempt.number &&
                             (t.state == TaskState::waiting || t.state == TaskState::running);
            if (ready == spec.tasks) {
                w.changed = true;
                task.state = TaskState::running;
            } else if (now_ - task.since > settings.gangWait) {
                exit(w, task, ExitReason::alone);
            }
        }
        if (task.state == TaskState::running && spec.kind != Kind::service && now_ >= task.next) {
            if (chance(faults_.error)) return exit(w, task, ExitReason::error);
            const auto done = [&](std::uint32_t t) {
                completed.insert(attempt.job + "/" + std::to_string(t));
            };
            if (spec.kind == Kind::gang)
                for (std::uint32_t t = 0; t < spec.tasks; ++t) done(t);
            else
                done(attempt.task);
            exit(w, task, ExitReason::done);
        }
        if (task.state == TaskState::saving && now_ >= task.next) exit(w, task, ExitReason::stopped);
        // The rest of a gang that lost a task leaves after a while.
        if (task.state == TaskState::running && spec.kind == Kind::gang && spec.tasks > 1) {
            std::size_t others = 0;
            for (const auto& [id, other] : workers_)
                for (const auto& [a, t] : other.tasks)
                    others += present(other) && a.job == attempt.job && a.number == attempt.number &&
                              (t.state != TaskState::exited || t.why == ExitReason::done);
            if (others < spec.tasks && chance(0.05)) exit(w, task, ExitReason::peers);
        }
    }
    void execute(Worker& w, const Order& order) {
        const auto found = w.tasks.find(order.attempt);
        w.changed = true;
        switch (order.op) {
            case protocol::Op::start:
                if (found == w.tasks.end()) start(w, order.attempt);
                break;
            case protocol::Op::stop:
                if (found == w.tasks.end() || found->second.state == TaskState::exited) break;
                if (found->second.state == TaskState::running &&
                    specs_.at(order.attempt.job).checkpoint > Seconds(0) &&
                    order.grace >= specs_.at(order.attempt.job).save) {
                    found->second.state = TaskState::saving;
                    found->second.next = now_ + 1s;
                } else if (found->second.state != TaskState::saving || order.grace <= Seconds(0)) {
                    exit(w, found->second, ExitReason::stopped);
                }
                break;
            case protocol::Op::forget:
                if (found != w.tasks.end() && found->second.state == TaskState::exited) {
                    if (found->second.why == ExitReason::done) checkStored(order.attempt);
                    w.tasks.erase(found);
                }
        }
    }
    void start(Worker& w, const Attempt& attempt) {
        ++starts;
        Task task;
        const auto& spec = specs_.at(attempt.job);
        double cpus = spec.cpus, gpus = spec.gpus;
        bool busy = false;
        for (const auto& [a, t] : w.tasks) {
            if (t.state == TaskState::exited) continue;
            cpus += specs_.at(a.job).cpus;
            gpus += specs_.at(a.job).gpus;
            busy |= a.job == attempt.job && a.task == attempt.task;
        }
        const double mostGpus = w.type == "gpu" ? 2 : 0;
        if (busy || cpus > 8.001 || gpus > mostGpus + 0.001) {
            task.state = TaskState::exited;
            task.why = busy ? ExitReason::busy : ExitReason::noRoom;
            ++refusals;
        } else {
            checkPlace(w, attempt);
            task.next = now_ + span(0.3, 3);
        }
        w.tasks[attempt] = task;
    }

    // --- the rules ---

    void checkPlace(const Worker& w, const Attempt& attempt) {
        const auto& spec = specs_.at(attempt.job);
        const auto name = attempt.job + "/" + std::to_string(attempt.task);
        std::map<std::string, double> cpus, gpus;
        std::map<std::string, std::uint32_t> zones;
        for (const auto& [id, other] : workers_) {
            if (!present(other)) continue;
            for (const auto& [a, t] : other.tasks) {
                if (t.state == TaskState::exited || (id == w.id && a == attempt)) continue;
                cpus[specs_.at(a.job).team] += specs_.at(a.job).cpus;
                gpus[specs_.at(a.job).team] += specs_.at(a.job).gpus;
                if (a.job != attempt.job) continue;
                ++zones[other.zone];
                if (a.task == attempt.task)
                    broken.push_back("ran_twice: " + name + " on " + id + " and " + w.id);
            }
        }
        const auto* team = settings.team(spec.team);
        if ((team->cpusMax > 0 && cpus[spec.team] + spec.cpus > team->cpusMax + 1e-6) ||
            (team->gpusMax > 0 && gpus[spec.team] + spec.gpus > team->gpusMax + 1e-6))
            broken.push_back("quota: " + name);
        ++zones[w.zone];
        const bool place =
            (spec.types && std::find(spec.types->begin(), spec.types->end(), w.type) == spec.types->end()) ||
            (spec.zone && *spec.zone != w.zone) || (w.spot && !spec.spot) ||
            (spec.oneZone && zones.size() > 1) || (spec.spread && zones[w.zone] > (spec.tasks + 1) / 2);
        if (place) broken.push_back("wrong_place: " + name + " on " + w.id);
        const auto gone = cancelled_.find(attempt.job);
        if (gone != cancelled_.end() && now_ - gone->second > settings.cancel)
            broken.push_back("ran_cancelled: " + name);
    }
    /// A result may be cleared once the store has it, or the job is over.
    void checkStored(const Attempt& attempt) {
        const auto value = store.values.at(storage::keys::job(attempt.job));
        const auto record = storage::decodeJob(protocol::unpackBody(value.data).get());
        if (record.final != storage::Final::open || record.spec.kind == Kind::service) return;
        std::vector<bool> bits(record.spec.tasks);
        const auto chunk = attempt.task / record.chunkTasks;
        const auto found = store.values.find(storage::keys::doneChunk(attempt.job, chunk));
        if (found != store.values.end())
            storage::decodeBits(protocol::unpackBody(found->second.data).get(), bits,
                                chunk * record.chunkTasks, record.chunkTasks);
        if (!bits[attempt.task])
            broken.push_back("cleared before it was stored: " + attempt.job + "/" +
                             std::to_string(attempt.task));
    }

    Faults faults_;
    std::mt19937_64 random_;
    Time now_{1000s};
    std::multimap<Time, std::function<void()>> events_;
    std::vector<protocol::MachineType> types_;
    std::map<std::string, JobSpec> specs_;
    std::map<std::string, Time> cancelled_;
    std::map<std::string, Worker> workers_;
    std::map<std::string, std::vector<std::string>> rented_;
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> reports_;
    std::uint64_t requests_ = 0, machines_ = 0, told_ = 0;
    std::string lastFailed_;  // a key whose condition failed in the last transaction
    std::shared_ptr<Tenant> tenant_;
    Time electionAt_{};

  public:
    std::size_t refusals = 0;
};

}  // namespace burlpoint::tests
