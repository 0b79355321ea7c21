#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/leader.h"
#include "fleet_recount.h"
#include "state_stub.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using bookkeeping::Resources;
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
        double lose = 0.03;             // a message
        double late = 0.03;             // a direct order, transaction or cloud request carried out much later
        double crash = 0.01;            // the leader, per second
        double die = 0.002;             // a worker, per second
        double hang = 0.003;            // a worker, for up to its lease and beyond, per second
        double cut = 0.005;             // a worker from the controllers, per second
        double error = 0.02;            // a task
        double drainForRecall = 0.002;  // a spot machine, per second
        double unreachable = 0.003;     // a worker whose reports arrive and that nothing reaches, per second
        double copy = 0.05;             // a report of which a copy comes again, up to several leases later
        double back = 0.001;            // a worker that ends and is back at once, per second
        double anew = 0.0005;           // the same, and it counts its reports from the beginning
        double sever = 0.003;           // the leader from the store, not from the workers, per second
        double mute = 0;        // a worker that reaches no controller, direct commands reach it, per second
        double afterwards = 0;  // a transaction without an answer, carried out 2 to 12 s later
        double heldBack = 0;    // a report of which a copy arrives once a new leader has acted
        double heldUp = 0;  // a command or its answer to a machine that hangs or is cut off, until that ends
        double atEnd = 0;   // a job that its user cancels, asks about and submits again as it ends
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
    // How often what a test is about came to pass.
    struct Met {
        std::size_t lateWritesFailed = 0;  // newer ones came before them
        std::size_t heldReports = 0;       // that a later leader received
        std::size_t earlierSessions = 0;   // of these, from before the worker's present session
        std::size_t heldOrders = 0;        // carried out as a machine went on
        std::size_t muteOrders = 0;        // carried out by a machine that reached no controller
        std::size_t endCancels = 0;        // cancellations between a job's last result and its stored end
        std::size_t hungCancels = 0;       // machines with cancelled tasks that hung or could not be reached
        std::size_t unstored = 0;          // cancellations that waited for the store
        std::size_t insideAnswers = 0;     // by a leader inside a zone that is cut off
        std::size_t fullTeams = 0;         // take-overs at a team's limit with machines out of reach
        std::size_t freedStarts = 0;       // of tasks whose job had to wait for others
        std::size_t derived = 0;           // jobs cancelled with one that they need
    } met;
    std::set<std::string> completed;  // "job/task"

    // What machines and tasks are like.
    Seconds shortestRun{2}, longestRun{12}, slowestFetch{3};
    std::size_t mostMachines = 12;

    /// Accepted unless the store is out. A repetition finds the record and changes nothing.
    void submit(const JobSpec& spec) {
        if (outage()) return;
        for (const auto& id : spec.dependencies) {
            if (!specs_.contains(id)) return;  // 422
            if (cancelled_.contains(id)) cancelled_.try_emplace(spec.id, now_);
        }
        met.derived += cancelled_.contains(spec.id);
        std::vector<std::string> failed;
        const storage::JobRecord record{spec, storage::Final::open, 0, 0, 4};
        store.transact({{storage::keys::job(spec.id), 0}},
                       {{storage::keys::job(spec.id), storage::encodeJob(record), 0}}, failed);
        specs_.try_emplace(spec.id, spec);
    }
    /// A user's cancellation through any node that the store answers, repeated until it is confirmed.
    void cancel(const std::string& id) {
        if (!specs_.contains(id)) return;
        if (outage()) {
            ++met.unstored;
            at(1s, [this, id] { cancel(id); });
            return;
        }
        const auto key = storage::keys::job(id);
        const auto& value = store.values.at(key);
        auto record = storage::decodeJob(protocol::unpackBody(value.data).get());
        if (finalOf(id) != storage::Final::open) return;
        record.final = storage::Final::cancelled;
        std::vector<std::string> failed;
        store.transact({{key, value.version}}, {{key, storage::encodeJob(record), 0}}, failed);
        cancelled_[id] = now_;
        for (const auto& [other, spec] : specs_)
            if (!cancelled_.contains(other) && finalOf(other) == storage::Final::cancelled) {
                cancelled_[other] = now_;
                ++met.derived;
            }
        for (const auto& machine : holding(id))
            met.hungCancels += reachable(machine) == nullptr || workers_.at(machine).unreachableUntil > now_;
    }
    /// A user's question. Nobody is told the contrary of a final state that somebody was told.
    void ask(const std::string& id) {
        if (outage() || !specs_.contains(id)) return;
        if (!store.values.contains(storage::keys::job(id))) return broken.push_back("forgotten: " + id);
        const auto final = finalOf(id);
        // What any node answers that has read the store: all of them must derive the same from it.
        read(asked_, askedRead_);
        if (asked_.find(id)->final != final) broken.push_back("orphaned or went_back: " + id);
        auto& before = answered_[id];
        if (before != storage::Final::open && before != final) broken.push_back("went_back: " + id);
        before = final;
    }

    // --- troubles brought about by a test ---

    /// From then on the store takes no more than this, changes counted by the second.
    void lowerLimits(Seconds after, StoreLimits limits) {
        lowered_ = limits;
        nextSecond_ = now_ + ticks(after);
    }

    Time now() const { return now_; }
    /// The store refuses everybody. A leader that has seen all there is goes on by its peers' grants.
    void storeOutage(Seconds time) {
        storeOutUntil_ = now_ + ticks(time);
        if (tenant_ && tenant_->severed()) return;
        if (tenant_) readStore(*tenant_);
    }
    /// The store refuses the leader alone: it ends with its tenure, within `most`.
    void refuseLeader(Seconds most) {
        if (tenant_ && !tenant_->severed()) tenant_->tenureEnds = now_ + span(0.5, most.count());
    }
    /// The store takes so long for each answer; a node waits for a transaction's for 1.5 s.
    void slowStore(Seconds latency) { latency_ = latency; }
    /// The leader ends; the next begins after the pause.
    void endLeader(Seconds pause) {
        tenant_.reset();
        electionAt_ = now_ + ticks(pause);
    }
    /// The zone is cut from everything else. With `leaderInside` the leader is in it, without the store.
    void cutZone(const std::string& zone, Seconds time, bool leaderInside) {
        cutZone_ = zone;
        zoneCutUntil_ = now_ + ticks(time);
        if (!leaderInside || !tenant_) return;
        tenant_->inside = true;
        refuseLeader(Seconds(8));
    }
    /// Machines that hold a task of a job (any, if empty) at this moment.
    std::vector<std::string> holding(const std::string& job) const {
        std::vector<std::string> out;
        for (const auto& [id, w] : workers_)
            if (present(w) && std::any_of(w.tasks.begin(), w.tasks.end(), [&](const auto& t) {
                    return t.second.state != TaskState::exited && (job.empty() || t.first.job == job);
                }))
                out.push_back(id);
        return out;
    }
    void hang(const std::string& id, Seconds time) { workers_.at(id).hungUntil = now_ + ticks(time); }
    void cut(const std::string& id, Seconds time) { workers_.at(id).cutUntil = now_ + ticks(time); }
    void mute(const std::string& id, Seconds time) { workers_.at(id).muteUntil = now_ + ticks(time); }
    void makeUnreachable(const std::string& id, Seconds time) {
        workers_.at(id).unreachableUntil = now_ + ticks(time);
    }
    void lose(const std::string& id) {
        workers_.at(id).dead = true;
        workers_.at(id).tasks.clear();
    }
    /// As stored, or cancelled with one that it needs.
    storage::Final finalOf(const std::string& id) const {
        const auto stored = recordOf(id).final;
        if (stored != storage::Final::open) return stored;
        const auto& needs = specs_.at(id).dependencies;
        const bool cancelled = std::any_of(needs.begin(), needs.end(), [&](const auto& needed) {
            return finalOf(needed) == storage::Final::cancelled;
        });
        return cancelled ? storage::Final::cancelled : stored;
    }
    storage::JobRecord recordOf(const std::string& id) const {
        return storage::decodeJob(protocol::unpackBody(store.values.at(storage::keys::job(id)).data).get());
    }
    bool allDone(const std::string& id) const {
        for (std::uint32_t t = 0; t < specs_.at(id).tasks; ++t)
            if (!completed.contains(id + "/" + std::to_string(t))) return false;
        return true;
    }
    bool free(const std::string& id) const {
        const auto& needs = specs_.at(id).dependencies;
        return std::all_of(needs.begin(), needs.end(), [&](const auto& needed) {
            return recordOf(needed).final == storage::Final::done;
        });
    }
    const std::map<std::string, JobSpec>& jobs() const { return specs_; }
    /// No further trouble; what began goes on to its end. From a while later on nothing may wait for long.
    void calm() {
        faults_ = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0};
        latency_ = Seconds(0);
        calmSince_ = now_;
    }

    void run(Seconds time) {
        const auto end = now_ + std::chrono::duration_cast<Clock::duration>(time);
        while (now_ < end) {
            now_ += 100ms;
            step();
            checkStore();
            checkCancelled();
            if (calmSince_ && now_ >= nextLook_) {
                nextLook_ = now_ + 1s;
                checkWaiting();
            }
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
        const auto* job = tenant_->replica.find(id);
        out += ": done " + std::to_string(job->doneCount);
        if (job->run)
            out += " waiting " + std::to_string(job->run->waiting) + " possible " +
                   std::to_string(job->run->liveTotal) + " unstored " +
                   std::to_string(job->run->unstored.size()) + " errors on " +
                   std::to_string(job->run->errorMachines.size());
        out += "; last conflict " + lastFailed_ + "; " + tenant_->leader->stateWriter().summary();
        for (const auto& [name, m] : tenant_->leader->fleet().machines())
            out += "\n  " + name + " " + m->type + "/" + m->zone + (m->spot ? "/spot" : "") + " heard " +
                   std::to_string(m->acknowledged) + " settled " + std::to_string(m->reconciled) +
                   " roster " + std::to_string(static_cast<int>(m->roster)) + " draining " +
                   std::to_string(m->draining) + " releasing " + std::to_string(m->releasing) + " errors " +
                   std::to_string(m->errorJobs.size()) + " tasks " + std::to_string(m->placements.size());
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
        Time bootAt{}, hungUntil{}, cutUntil{}, unreachableUntil{}, muteUntil{};
        Time troubledAt{};  // when it was last out of order in some way
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
        bookkeeping::StateReplica replica;
        std::size_t read = 0;
        Time lastRead{};
        bool inside = false;  // of the zone that is cut off
        std::unique_ptr<Leader> leader;
        Time tenureEnds = Time::max();  // severed from the store, it leads until then
        bool severed() const { return tenureEnds != Time::max(); }
    };

    Clock::duration span(double from, double to) {
        return std::chrono::duration_cast<Clock::duration>(
            Seconds(std::uniform_real_distribution<>(from, to)(random_)));
    }
    static Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }
    bool outage() const { return now_ < storeOutUntil_; }
    /// A kind of trouble that most histories do without draws nothing there: they stay as they were.
    bool rarely(double p) { return p > 0 && chance(p); }
    bool chance(double p) { return random01() < p; }
    void at(Clock::duration delay, std::function<void()> what) {
        events_.emplace(now_ + delay, std::move(what));
    }
    bool present(const Worker& w) const {
        return w.up && !w.dead && Seconds(now_ - w.answeredSent).count() * w.drift <= settings.lease.count();
    }

    void step() {
        if (lowered_ && now_ >= nextSecond_) {
            store.limits = *lowered_;
            nextSecond_ = now_ + 1s;
        }
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
        const double perStep = 0.1;
        if (!tenant_ && now_ >= electionAt_ && !outage()) takeOver();
        if (tenant_ && chance(faults_.crash * perStep)) crash();
        if (tenant_ && !tenant_->severed() && chance(faults_.sever * perStep))
            tenant_->tenureEnds = now_ + span(1, 8);
        if (tenant_ && now_ >= tenant_->tenureEnds) crash();
        if (tenant_) {
            const bool read = chance(0.5) || now_ - tenant_->lastRead >= 400ms + ticks(latency_);
            if (read && !tenant_->severed() && !outage()) readStore(*tenant_);
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
        noteFullTeams();
        auto tenant = std::make_shared<Tenant>();
        tenant->token =
            storage::decodeToken(protocol::unpackBody(store.values.at(storage::keys::kToken).data).get()) + 1;
        std::vector<std::string> failed;
        store.transact({}, {{storage::keys::kToken, storage::encodeToken(tenant->token), 0}}, failed);
        readStore(*tenant);
        tenant->leader = std::make_unique<Leader>(settings, policy, tenant->replica, tenant->token, now_, 0);
        tenant_ = std::move(tenant);
        for (auto& report : std::exchange(held_, {})) at(span(0.1, 6), std::move(report));
    }
    void noteFullTeams() {
        std::map<std::string, double> use;
        bool silent = false;
        for (const auto& [id, w] : workers_) {
            if (!present(w)) continue;
            silent |= !w.tasks.empty() && !reachable(id);
            for (const auto& [a, t] : w.tasks)
                if (t.state != TaskState::exited) use[specs_.at(a.job).team] += specs_.at(a.job).cpus;
        }
        for (const auto& [name, cpus] : use) {
            const auto* team = settings.team(name);
            met.fullTeams += silent && team->cpusMax > 0 && cpus + 3 > team->cpusMax;
        }
    }
    std::vector<bookkeeping::Change> read(bookkeeping::StateReplica& replica, std::size_t& at) {
        std::vector<bookkeeping::Change> changes;
        for (; at < store.log.size(); ++at) {
            const auto& event = store.log[at];
            msgpack::object_handle handle;
            if (event.data) handle = protocol::unpackBody(*event.data);
            replica.apply({event.key, event.data ? &handle.get() : nullptr, event.version}, changes);
        }
        return changes;
    }
    void readStore(Tenant& tenant) {
        tenant.lastRead = now_;
        const auto changes = read(tenant.replica, tenant.read);
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
            if (const auto wrong = recount(tenant->leader->fleet(), tenant->replica); !wrong.empty())
                broken.push_back("recount: " + wrong);
        for (auto& action : actions) {
            if (tenant_ != tenant) return;
            std::visit([&](auto& a) { perform(a); }, action);
        }
    }
    /// Tells the leadership that asked, unless it is gone.
    void deliverLater(Clock::duration delay, std::uint64_t token, coordination::Command command) {
        at(delay, [this, token, command = std::move(command)]() mutable {
            if (tenant_ && tenant_->token == token) tell(std::move(command));
        });
    }

    // --- the network and the services ---

    void perform(coordination::AnswerReport& a) {
        const auto [worker, session] = reports_.at(a.request);
        if (!a.accepted || chance(faults_.lose)) return;
        for (const auto& order : a.orders) checkStart(order);
        const auto delay = chance(faults_.late) ? span(0, 8) : span(0, 0.2);
        deliver(delay, worker,
                [this, id = worker, session = session, request = a.request, token = tenant_->token,
                 orders = a.orders, inside = tenant_->inside] {
                    auto* w = hearing(id, inside);
                    if (!w || w->inFlight != request || w->session != session || now_ - w->reportSent > 4s)
                        return;
                    w->inFlight = 0;
                    if (token < w->token) return;
                    if (token > w->token) w->changed = true;
                    w->token = token;
                    met.insideAnswers += inside;
                    w->answeredSent = w->reportSent;
                    for (const auto& order : orders) execute(*w, order);
                });
    }
    void perform(coordination::SendOrders& a) {
        const auto token = tenant_->token;
        const bool late = chance(faults_.late);
        if (late || chance(faults_.lose))
            deliverLater(2500ms, token, coordination::WorkerAnswered{a.machine, std::nullopt, a.known});
        else if (!hearing(a.machine, tenant_->inside)) {
            if (rarely(faults_.heldUp)) later(a, token, tenant_->inside);
            return deliverLater(2500ms, token,
                                coordination::WorkerAnswered{a.machine, std::nullopt, a.known});
        }
        deliver(late ? span(3, 40) : span(0, 0.2), a.machine,
                [this, late, token, a, inside = tenant_->inside] {
                    auto* w = hearing(a.machine, inside);
                    if (!w) return;
                    if (token >= w->token && a.session == w->session) {
                        met.muteOrders += w->muteUntil > now_;
                        if (token > w->token) w->changed = true;
                        w->token = token;
                        for (const auto& order : a.orders) execute(*w, order);
                    }
                    if (!late)
                        deliverLater(span(0, 0.2), token,
                                     coordination::WorkerAnswered{a.machine, reportOf(*w), a.known});
                });
    }
    /// Held up on the way to a machine that hangs or is cut off, a message arrives as that ends.
    void deliver(Clock::duration delay, const std::string& id, std::function<void()> what) {
        if (!rarely(faults_.heldUp)) return at(delay, std::move(what));
        at(delay, [this, id, what = std::move(what)] {
            const auto& w = workers_.at(id);
            const auto until = std::max(w.hungUntil, w.cutUntil);
            at(std::max(until - now_, Clock::duration(0)), what);
        });
    }
    /// Orders that nobody waits for any more are carried out as the machine goes on.
    void later(const coordination::SendOrders& a, std::uint64_t token, bool inside) {
        const auto found = workers_.find(a.machine);
        if (found == workers_.end()) return;
        const auto until = std::max(found->second.hungUntil, found->second.cutUntil);
        at(std::max(until - now_, Clock::duration(0)), [this, a, token, inside] {
            auto* w = hearing(a.machine, inside);
            if (!w || token < w->token || a.session != w->session) return;
            ++met.heldOrders;
            if (token > w->token) w->changed = true;
            w->token = token;
            for (const auto& order : a.orders) execute(*w, order);
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
            return deliverLater(1500ms, token, coordination::StateWritten{});
        }
        if (rarely(faults_.afterwards)) {
            at(span(2, 12), [this, write, a] {
                const bool applied = write(a).revision != 0;
                lateWrites += applied;
                met.lateWritesFailed += !applied;
            });
            return deliverLater(1500ms, token, coordination::StateWritten{});
        }
        if (latency_ > Seconds(0)) {
            // Carried out somewhere on the way there and back, whether or not anybody still waits.
            const auto there = span(0, latency_.count()), back = span(0, latency_.count());
            at(there, [this, token, write, a, there, back] {
                const auto result = outage() ? refusal() : write(a);
                if (there + back <= 1500ms) deliverLater(back, token, coordination::StateWritten{result});
            });
            if (there + back > 1500ms) deliverLater(1500ms, token, coordination::StateWritten{});
            return;
        }
        if (outage() || chance(faults_.lose)) {
            storage::TxnResult refused;
            refused.status = storage::TxnStatus::refused;
            return deliverLater(10ms, token, coordination::StateWritten{refused});
        }
        at(span(0, 0.1),
           [this, token, write, a] { deliverLater(5ms, token, coordination::StateWritten{write(a)}); });
    }
    void perform(coordination::RefreshReplica&) {
        at(20ms, [this, token = tenant_->token] {
            if (!tenant_ || tenant_->token != token) return;
            if (tenant_->severed() || outage()) return tell(coordination::ReplicaRefreshed{false});
            readStore(*tenant_);
            tell(coordination::ReplicaRefreshed{true});
        });
    }
    void perform(coordination::Rent& a) {
        const auto token = tenant_->token;
        const auto rent = [this, request = a.request] {
            auto& made = rented_[request.name];
            if (!made.empty()) return made;
            for (std::uint32_t i = 0; i < request.count && alive() < mostMachines; ++i) {
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
            return deliverLater(6s, token, unknown);
        }
        coordination::RentalAnswered answer;
        answer.name = a.request.name;
        answer.machines = rent();
        answer.outcome = answer.machines.empty() ? coordination::RentalOutcome::turnedDown
                                                 : coordination::RentalOutcome::carriedOut;
        deliverLater(span(0.1, 0.4), token, answer);
    }
    void perform(coordination::Release& a) {
        const auto remove = [this, a] {
            for (const auto& id : a.machines)
                if (const auto found = workers_.find(id); found != workers_.end()) found->second.dead = true;
        };
        const auto token = tenant_->token;
        if (chance(faults_.late)) {
            at(span(0, 20), remove);
            return deliverLater(6s, token, coordination::ReleaseAnswered{a.machines, false});
        }
        at(span(0.05, 0.2), [this, remove, token, a] {
            remove();
            deliverLater(50ms, token, coordination::ReleaseAnswered{a.machines, true});
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
        deliverLater(span(0.1, 4), tenant_->token, std::move(listed));
    }
    void perform(coordination::ListTypes&) {
        deliverLater(200ms, tenant_->token, coordination::TypesListed{types_});
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
    Worker* hearing(const std::string& id, bool inside) {
        auto* w = reachable(id);
        return w && w->unreachableUntil <= now_ && linked(*w, inside) ? w : nullptr;
    }
    /// Nothing passes between a zone that is cut off and the rest.
    bool linked(const Worker& w, bool inside) const {
        return now_ >= zoneCutUntil_ || inside == (w.zone == cutZone_);
    }
    static storage::TxnResult refusal() {
        storage::TxnResult refused;
        refused.status = storage::TxnStatus::refused;
        return refused;
    }
    Report reportOf(Worker& w) {
        Report r{w.id, w.id, w.type, w.zone, w.spot, w.session, ++w.sequence, w.token, {}, {}};
        if (w.recallAt) r.notice = std::max(Seconds(0), Seconds(*w.recallAt - now_));
        for (const auto& [attempt, task] : w.tasks) r.tasks.push_back({attempt, task.state, task.why, false});
        return r;
    }
    /// What may befall a worker that is up: silences, a restart of its session and a recall of its machine.
    void drawTroubles(Worker& w, double perStep) {
        if (chance(faults_.hang * perStep)) w.hungUntil = now_ + span(1, 18);
        if (chance(faults_.cut * perStep)) w.cutUntil = now_ + span(1, 25);
        if (chance(faults_.unreachable * perStep)) w.unreachableUntil = now_ + span(3, 60);
        if (rarely(faults_.mute * perStep)) w.muteUntil = now_ + span(3, 40);
        if (std::max({w.hungUntil, w.cutUntil, w.unreachableUntil, w.muteUntil}) > now_ || w.recallAt)
            w.troubledAt = now_;
        if (const bool anew = chance(faults_.anew * perStep); anew || chance(faults_.back * perStep)) {
            w.tasks.clear();
            w.session = anew ? 1 : w.session + 1;
            if (anew) w.sequence = w.token = 0;
            w.answeredSent = now_;
            w.inFlight = 0;
            w.changed = true;
            w.troubledAt = now_;
        }
        if (w.spot && !w.recallAt && chance(faults_.drainForRecall * perStep)) w.recallAt = now_ + span(3, 9);
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
        drawTroubles(w, perStep);
        if (w.hungUntil > now_) return;
        if (!present(w)) {
            w.tasks.clear();
            ++w.session;
            w.troubledAt = now_;
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
        sendReport(w);
    }
    /// Sends the worker's report: it may be lost, late, copied, or held back until a cut ends.
    void sendReport(Worker& w) {
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
        if (w.muteUntil > now_) return;
        if (rarely(faults_.heldBack)) {
            const auto copy = ++requests_;
            reports_[copy] = {w.id, w.session};
            held_.push_back([this, report, copy] {
                ++met.heldReports;
                met.earlierSessions += report.session < workers_.at(report.machine).session;
                arrive(report, copy);
            });
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
        if (tenant_ && linked(workers_.at(report.machine), tenant_->inside))
            tell(coordination::ReportArrived{request, report});
    }
    void exit(Worker& w, Task& task, ExitReason why) {
        task.state = TaskState::exited;
        task.why = why;
        w.changed = true;
    }
    /// How many tasks of the attempt's gang, on workers that are present, are as `counts` asks.
    template <typename Predicate>
    std::size_t membersOfGang(const Attempt& attempt, Predicate counts) const {
        std::size_t members = 0;
        for (const auto& [id, w] : workers_) {
            if (!present(w)) continue;
            members += static_cast<std::size_t>(
                std::count_if(w.tasks.begin(), w.tasks.end(), [&](const auto& entry) {
                    const auto& [member, task] = entry;
                    return member.job == attempt.job && member.number == attempt.number && counts(task);
                }));
        }
        return members;
    }
    void stepTask(Worker& w, const Attempt& attempt, Task& task) {
        const auto& spec = specs_.at(attempt.job);
        if (task.state == TaskState::fetching && now_ >= task.next) {
            w.changed = true;
            task.since = now_;
            task.state = spec.kind == Kind::gang && spec.tasks > 1 ? TaskState::waiting : TaskState::running;
            task.next = now_ + span(shortestRun.count(), longestRun.count());
            checkPlace(w, attempt);
        }
        if (task.state == TaskState::waiting) {
            const auto ready = membersOfGang(attempt, [](const Task& member) {
                return member.state == TaskState::waiting || member.state == TaskState::running;
            });
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
            if (rarely(faults_.atEnd) && allDone(attempt.job)) atEnd(attempt.job);
        }
        if (task.state == TaskState::saving && now_ >= task.next) exit(w, task, ExitReason::stopped);
        // The rest of a gang that lost a task leaves after a while.
        if (task.state == TaskState::running && spec.kind == Kind::gang && spec.tasks > 1) {
            const auto others = membersOfGang(attempt, [](const Task& member) {
                return member.state != TaskState::exited || member.why == ExitReason::done;
            });
            if (others < spec.tasks && chance(0.05)) exit(w, task, ExitReason::peers);
        }
    }
    /// The job's last task has just ended: its user cancels, asks and submits it again, all at that moment.
    void atEnd(const std::string& id) {
        at(span(0, 0.6), [this, id] {
            met.endCancels += finalOf(id) == storage::Final::open;
            cancel(id);
        });
        for (int i = 0; i < 3; ++i) {
            at(span(0, 1.5), [this, id] { submit(specs_.at(id)); });
            at(span(0, 1.5), [this, id] { ask(id); });
            at(span(0, 60), [this, id] { ask(id); });
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
            task.next = now_ + span(0.3, slowestFetch.count());
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
        if (!free(attempt.job)) broken.push_back("too_early: " + name);
        met.freedStarts += !spec.dependencies.empty();
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
    /// A start that leaves after the leader could know that its job was cancelled. What was in flight by then
    /// may still start; it has to be gone in time like the rest.
    void checkStart(const Order& order) {
        if (order.op != protocol::Op::start) return;
        const auto gone = cancelled_.find(order.attempt.job);
        if (gone == cancelled_.end()) return;
        const auto* job = tenant_->replica.find(order.attempt.job);
        const bool inTouch = !tenant_->severed() && !outage();
        if ((job && job->final != storage::Final::open) ||
            (inTouch && now_ - gone->second > 1s + ticks(latency_)))
            broken.push_back("started after its cancellation: " + order.attempt.job);
    }
    /// A cancelled task is gone within the time set, whether or not its machine can be reached or runs.
    void checkCancelled() {
        for (const auto& [id, w] : workers_) {
            if (w.tasks.empty() || !present(w)) continue;
            for (const auto& [a, t] : w.tasks) {
                const auto found = cancelled_.find(a.job);
                if (t.state == TaskState::exited || found == cancelled_.end()) continue;
                if (now_ - found->second > settings.cancel && reported_.insert(a).second)
                    broken.push_back("ran_cancelled: " + a.job + "/" + std::to_string(a.task) + " on " + id);
            }
        }
    }
    /// What was accepted stays in the store, and what is final stays as it is.
    void checkStore() {
        for (; checked_ < store.log.size(); ++checked_) {
            const auto& event = store.log[checked_];
            const std::string prefix = storage::keys::kJobs;
            if (!event.key.starts_with(prefix)) continue;
            const auto id = event.key.substr(prefix.size());
            if (id.find('/') != std::string::npos) continue;
            if (!event.data) {
                broken.push_back("forgotten: " + id);
                continue;
            }
            const auto final = storage::decodeJob(protocol::unpackBody(*event.data).get()).final;
            auto& known = finals_[id];
            if (known != storage::Final::open && final != known) broken.push_back("went_back: " + id);
            if (final == storage::Final::cancelled && !cancelled_.contains(id))
                broken.push_back("went_back: nobody cancelled " + id);
            if (final == storage::Final::done && !free(id))
                broken.push_back("done before what it needs: " + id);
            if (final == storage::Final::done && known != storage::Final::done && !allDone(id))
                broken.push_back("not_done: " + id);
            known = final;
        }
    }
    /// What the tasks on the workers hold at one moment.
    struct Usage {
        std::map<std::string, Resources> teams;
        std::map<std::string, Resources> machines;
        std::set<std::string> jobs;  // with a task somewhere
    };
    Usage currentUsage() const {
        Usage usage;
        for (const auto& [id, w] : workers_) {
            if (!present(w)) continue;
            for (const auto& [attempt, task] : w.tasks) {
                if (task.state == TaskState::exited) continue;
                const auto& spec = specs_.at(attempt.job);
                const auto need = bookkeeping::needOf(spec);
                usage.teams[spec.team] += need;
                usage.machines[id] += need;
                usage.jobs.insert(attempt.job);
            }
        }
        return usage;
    }
    /// The worker has had no trouble for a while and the job's owner allows its machine.
    bool mayHost(const Worker& w, const JobSpec& spec) const {
        if (!present(w) || now_ - w.troubledAt < 30s || now_ - w.bootAt < 30s) return false;
        if ((w.spot && !spec.spot) || (spec.zone && *spec.zone != w.zone)) return false;
        return !spec.types || std::find(spec.types->begin(), spec.types->end(), w.type) != spec.types->end();
    }
    /// How many more tasks of the job have room beside what runs, in the zones that it may have.
    std::uint32_t roomFor(const JobSpec& spec, Usage& usage) const {
        std::map<std::string, std::uint32_t> rooms;  // per zone
        for (const auto& [machine, w] : workers_) {
            if (!mayHost(w, spec)) continue;
            const auto& type = types_.at(w.type == "gpu" ? 1 : 0);
            const auto left = bookkeeping::sizeOf(type) - usage.machines[machine];
            rooms[w.zone] += left.times(bookkeeping::needOf(spec));
        }
        std::uint32_t all = 0, best = 0;
        for (const auto& [zone, room] : rooms) {
            best = std::max(best, room);
            all += spec.spread ? std::min(room, (spec.tasks + 1) / 2) : room;
        }
        return spec.oneZone ? best : all;
    }
    /// Nothing of the job runs, and its team's limits and the machines' room let it begin.
    bool couldBegin(const JobSpec& spec, Usage& usage) {
        if (usage.jobs.contains(spec.id) || finalOf(spec.id) != storage::Final::open || allDone(spec.id) ||
            !free(spec.id))
            return false;
        const auto need = bookkeeping::needOf(spec);
        const std::uint32_t wanted = spec.kind == Kind::gang ? spec.tasks : 1;
        const auto* team = settings.team(spec.team);
        const auto use = usage.teams[spec.team];
        if (team->cpusMax > 0 && use.cpus + need.cpus * wanted > team->cpusMax + 1e-6) return false;
        if (team->gpusMax > 0 && use.gpus + need.gpus * wanted > team->gpusMax + 1e-6) return false;
        return roomFor(spec, usage) >= wanted;
    }
    /// Once the troubles are over, nothing that waits has to wait long beside room that it may have.
    void checkWaiting() {
        auto usage = currentUsage();
        for (const auto& [id, spec] : specs_) {
            if (!couldBegin(spec, usage)) {
                waiting_.erase(id);
                continue;
            }
            const auto since = waiting_.try_emplace(id, now_).first->second;
            if (now_ - since > 90s && waited_.insert(id).second)
                broken.push_back("waits beside room: " + explain(id));
        }
    }
    /// A result may be cleared once the store has it, or the job is over.
    void checkStored(const Attempt& attempt) {
        const auto value = store.values.at(storage::keys::job(attempt.job));
        const auto record = storage::decodeJob(protocol::unpackBody(value.data).get());
        if (record.final != storage::Final::open || record.spec.kind == Kind::service) return;
        std::vector<bool> bits(record.spec.tasks);
        const std::size_t chunk = attempt.task / record.chunkTasks;
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
    Time storeOutUntil_{}, zoneCutUntil_{}, nextLook_{};
    std::string cutZone_;
    Seconds latency_{0};
    std::optional<Time> calmSince_;
    std::vector<std::function<void()>> held_;  // copies of reports, for the next leader
    // Of the checks: how far the store's changes are read, what they said, and what was noted once.
    std::size_t checked_ = 0;
    std::map<std::string, storage::Final> finals_;
    std::map<std::string, Time> waiting_;
    std::set<std::string> waited_;
    std::set<Attempt> reported_;
    std::map<std::string, storage::Final> answered_;

  public:
    std::size_t refusals = 0;

  private:
    bookkeeping::StateReplica asked_;  // of a node that only answers users
    std::size_t askedRead_ = 0;
    std::optional<StoreLimits> lowered_;
    Time nextSecond_{};
};

}  // namespace burlpoint::tests
