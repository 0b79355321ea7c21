#include "protocol/messages.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace burlpoint::protocol {

namespace {

template <typename E, std::size_t N>
using Names = std::array<std::pair<std::string_view, E>, N>;

constexpr Names<Kind, 3> kJobKinds{
    {{"sweep", Kind::array}, {"gang", Kind::gang}, {"standing", Kind::service}}};
constexpr Names<Priority, 4> kPriorities{{{"prod", Priority::production},
                                          {"urgent", Priority::high},
                                          {"normal", Priority::normal},
                                          {"low", Priority::low}}};
constexpr Names<JobState, 4> kJobStates{{{"pending", JobState::queued},
                                         {"running", JobState::running},
                                         {"done", JobState::done},
                                         {"cancelled", JobState::cancelled}}};
constexpr Names<TaskState, 5> kTaskStates{{{"fetching", TaskState::fetching},
                                           {"waiting", TaskState::waiting},
                                           {"running", TaskState::running},
                                           {"saving", TaskState::saving},
                                           {"exited", TaskState::exited}}};
constexpr Names<ExitReason, 8> kReasons{{{"done", ExitReason::done},
                                         {"halted", ExitReason::stopped},
                                         {"peers", ExitReason::peers},
                                         {"alone", ExitReason::alone},
                                         {"error", ExitReason::error},
                                         {"full", ExitReason::noRoom},
                                         {"busy", ExitReason::busy},
                                         {"no_such", ExitReason::unknown}}};
constexpr Names<Op, 3> kOps{{{"start", Op::start}, {"kill", Op::stop}, {"clear", Op::forget}}};
constexpr Names<MachineState, 3> kMachineStates{{{"booting", MachineState::booting},
                                                 {"running", MachineState::running},
                                                 {"failed", MachineState::failed}}};

template <typename E, std::size_t N>
E parse(const Names<E, N>& names, const std::string& word) {
    for (const auto& [name, value] : names)
        if (name == word) return value;
    throw Malformed("unknown word \"" + word + "\"");
}

template <typename E, std::size_t N>
std::string_view wordFor(const Names<E, N>& names, E wanted) {
    for (const auto& [name, value] : names)
        if (value == wanted) return name;
    return "";
}

std::string taskName(const Attempt& attempt) { return attempt.job + "/" + std::to_string(attempt.task); }

Attempt parseAttempt(const Fields& fields) {
    const auto name = fields.text("hand");
    const auto slash = name.find('/');
    Attempt attempt;
    if (slash == std::string::npos || !isJobId(std::string_view(name).substr(0, slash)))
        throw Malformed("not a task: " + name);
    attempt.job = name.substr(0, slash);
    const char* end = name.data() + name.size();
    const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, attempt.task);
    if (error != std::errc() || stop != end || attempt.task >= kMaxTasks)
        throw Malformed("not a task: " + name);
    attempt.number = fields.integer("launch");
    return attempt;
}

void packOrders(Packer& packer, const std::vector<Order>& orders) {
    packer.key("orders").list(orders.size());
    for (const auto& order : orders) {
        packer.map(order.op == Op::stop ? 4 : 3);
        packer.field("order", wordFor(kOps, order.op));
        packer.field("hand", taskName(order.attempt));
        packer.field("launch", order.attempt.number);
        if (order.op == Op::stop) packer.field("moorS", order.grace.count());
    }
}

}  // namespace

bool isJobId(std::string_view text) {
    constexpr std::string_view kPrefix = "wk-";
    if (!text.starts_with(kPrefix)) return false;
    const auto digits = text.substr(kPrefix.size());
    return !digits.empty() && digits.size() <= 20 &&
           std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

JobSpec decodeSpec(const msgpack::object& body) {
    const Fields f(body);
    constexpr std::size_t kName = 100;
    JobSpec s;
    s.id = f.text("uid");
    if (!isJobId(s.id)) throw Malformed("field uid is invalid");
    s.jobClass = f.text("berth", kName);
    s.team = f.text("crew", kName);
    s.kind = parse(kJobKinds, f.text("rig"));
    s.priority = parse(kPriorities, f.text("tide"));
    const auto tasks = f.integer("hands");
    if (tasks < 1 || tasks > kMaxTasks) throw Malformed("field hands is invalid");
    s.tasks = static_cast<std::uint32_t>(tasks);
    s.cpus = f.amount("cores");
    s.gpus = f.amount("accelerators");
    s.memoryGb = f.amount("ramGb");
    s.image = f.text("cargo", kName);
    s.imageGb = f.amount("pullGb");
    if (f.find("hulls")) {
        s.types = f.texts("hulls");
        if (s.types->size() > 16) throw Malformed("field hulls is invalid");
    }
    s.zone = f.maybeText("quay", kName);
    s.oneZone = f.flag("together");
    s.spread = f.flag("apart");
    s.spot = f.flag("driftwood");
    s.estimate = Seconds(f.amount("voyageS"));
    s.checkpoint = Seconds(f.amount("logbookS"));
    s.save = Seconds(f.amount("stowS"));
    if (const auto deadline = f.maybeAmount("sailingS")) s.deadline = Seconds(*deadline);
    for (auto& id : f.texts("towlines")) {
        if (!isJobId(id)) throw Malformed("field towlines is invalid");
        const auto known = std::find(s.dependencies.begin(), s.dependencies.end(), id);
        if (known == s.dependencies.end()) s.dependencies.push_back(std::move(id));
    }
    return s;
}

void packSpec(Packer& p, const JobSpec& s, std::size_t extraFields) {
    p.map(20 + extraFields + !s.dependencies.empty());
    p.field("uid", s.id).field("berth", s.jobClass).field("crew", s.team);
    p.field("rig", wordFor(kJobKinds, s.kind)).field("tide", wordFor(kPriorities, s.priority));
    p.field("hands", s.tasks).field("cores", s.cpus).field("accelerators", s.gpus).field("ramGb", s.memoryGb);
    p.field("cargo", s.image).field("pullGb", s.imageGb);
    p.maybe("hulls", s.types).maybe("quay", s.zone);
    p.field("together", s.oneZone).field("apart", s.spread).field("driftwood", s.spot);
    p.field("voyageS", s.estimate.count()).field("logbookS", s.checkpoint.count());
    p.field("stowS", s.save.count());
    s.deadline ? p.field("sailingS", s.deadline->count()) : p.nil("sailingS");
    if (!s.dependencies.empty()) p.field("towlines", s.dependencies);
}

std::string jobReply(const std::string& id, JobState state) {
    return Packer().map(2).field("uid", id).field("bearing", wordFor(kJobStates, state)).take();
}

std::string jobReply(const std::string& id, JobState state, std::uint32_t done, std::uint32_t running) {
    Packer p;
    p.map(4).field("uid", id).field("bearing", wordFor(kJobStates, state));
    return p.field("done", done).field("running", running).take();
}

std::string errorReply(std::string_view why) { return Packer().map(1).field("error", why).take(); }

Report decodeReport(std::string_view body) {
    const auto handle = unpackBody(body);
    const Fields f(handle.get());
    Report r;
    r.machine = f.text("bollard");
    r.address = f.text("address");
    r.type = f.text("hull");
    r.zone = f.text("quay");
    r.spot = f.flag("driftwood");
    r.session = f.integer("watch");
    r.sequence = f.integer("knot");
    r.token = f.integer("helm");
    if (const auto notice = f.maybeAmount("recallS")) r.notice = Seconds(*notice);
    f.each("hands", [&](const msgpack::object& element) {
        const Fields t(element);
        TaskReport task;
        task.attempt = parseAttempt(t);
        task.state = parse(kTaskStates, t.text("bearing"));
        if (task.state == TaskState::exited) task.why = parse(kReasons, t.text("wreck"));
        task.saved = t.flagOr("stored", false);
        r.tasks.push_back(std::move(task));
    });
    return r;
}

std::string encodeReport(const Report& r) {
    Packer p;
    p.map(10).field("bollard", r.machine).field("address", r.address).field("hull", r.type);
    p.field("quay", r.zone).field("driftwood", r.spot).field("watch", r.session).field("knot", r.sequence);
    p.field("helm", r.token);
    r.notice ? p.field("recallS", r.notice->count()) : p.nil("recallS");
    p.key("hands").list(r.tasks.size());
    for (const auto& task : r.tasks) {
        const bool exited = task.state == TaskState::exited;
        p.map(3 + exited + task.saved);
        p.field("hand", taskName(task.attempt)).field("launch", task.attempt.number);
        p.field("bearing", wordFor(kTaskStates, task.state));
        if (exited) p.field("wreck", wordFor(kReasons, task.why));
        if (task.saved) p.field("stored", true);
    }
    return p.take();
}

std::string encodeReportReply(std::uint64_t token, const std::vector<Order>& orders) {
    Packer p;
    p.map(2).field("helm", token);
    packOrders(p, orders);
    return p.take();
}

std::string encodeDirectOrders(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders) {
    Packer p;
    p.map(3).field("helm", token).field("watch", session);
    packOrders(p, orders);
    return p.take();
}

std::vector<Order> decodeOrders(std::string_view body) {
    const auto handle = unpackBody(body);
    std::vector<Order> orders;
    Fields(handle.get()).each("orders", [&](const msgpack::object& element) {
        const Fields f(element);
        Order order;
        order.op = parse(kOps, f.text("order"));
        order.attempt = parseAttempt(f);
        if (order.op == Op::stop) order.grace = Seconds(f.amount("moorS"));
        orders.push_back(std::move(order));
    });
    return orders;
}

std::string encodeElsewhere(const std::string& leader) {
    return leader.empty() ? Packer().map(0).take() : Packer().map(1).field("harbormaster", leader).take();
}

std::vector<MachineType> decodeMachineTypes(const msgpack::object& body) {
    std::vector<MachineType> types;
    Fields(body).each("hulls", [&](const msgpack::object& element) {
        const Fields f(element);
        MachineType t;
        t.name = f.text("label");
        t.cpus = f.amount("cores");
        t.gpus = f.amount("accelerators");
        t.memoryGb = f.amount("ramGb");
        t.cacheGb = f.amount("cacheGb");
        t.fetchGbPerS = f.amount("pullGbPerS");
        t.price = f.amount("rate");
        t.spotPrice = f.amount("marketPrice");
        t.boot = Seconds(f.amount("readyS"));
        t.zones = f.texts("quays");
        types.push_back(std::move(t));
    });
    return types;
}

std::string encodeMachineTypes(const std::vector<MachineType>& types) {
    Packer p;
    p.map(1).key("hulls").list(types.size());
    for (const auto& t : types) {
        p.map(10).field("label", t.name).field("cores", t.cpus).field("accelerators", t.gpus);
        p.field("ramGb", t.memoryGb).field("cacheGb", t.cacheGb).field("pullGbPerS", t.fetchGbPerS);
        p.field("rate", t.price).field("marketPrice", t.spotPrice).field("readyS", t.boot.count());
        p.field("quays", t.zones);
    }
    return p.take();
}

std::string encodeRental(const RentalRequest& r) {
    Packer p;
    p.map(5).field("charter", r.name).field("hull", r.type).field("quay", r.zone).field("driftwood", r.spot);
    return p.field("howMany", r.count).take();
}

std::vector<std::string> decodeRentalReply(std::string_view body) {
    const auto handle = unpackBody(body);
    return Fields(handle.get()).texts("bollards");
}

std::string encodeRelease(const std::vector<std::string>& machines) {
    return Packer().map(1).field("bollards", machines).take();
}

RentedPage decodeRentedPage(std::string_view body) {
    const auto handle = unpackBody(body);
    const Fields f(handle.get());
    RentedPage page;
    f.each("bollards", [&](const msgpack::object& element) {
        const Fields m(element);
        Rented rented;
        rented.id = m.text("uid");
        rented.address = m.maybeText("address").value_or("");
        rented.type = m.text("hull");
        rented.zone = m.text("quay");
        rented.spot = m.flag("driftwood");
        rented.state = parse(kMachineStates, m.text("bearing"));
        rented.age = Seconds(m.maybeAmount("heldS").value_or(0));
        page.machines.push_back(std::move(rented));
    });
    page.more = f.flagOr("hasNext", false);
    return page;
}

bool saysNoCapacity(std::string_view body) {
    try {
        const auto handle = unpackBody(body);
        return Fields(handle.get()).maybeText("error") == "no capacity";
    } catch (const Malformed&) {
        return false;
    }
}

PeerStatus decodePeerStatus(std::string_view body) {
    const auto handle = unpackBody(body);
    const Fields f(handle.get());
    PeerStatus s;
    s.node = f.text("node");
    s.token = f.integer("token");
    s.resignedToken = f.integerOr("given_up", 0);
    s.stateAgeMs = f.integer("state_age_ms");
    s.leaderToken = f.integerOr("hears", 0);
    s.grantMs = f.integerOr("promise_ms", 0);
    s.revision = f.integerOr("revision", 0);
    s.log = f.integerOr("log", 0);
    s.logAt = f.integerOr("log_at", 0);
    s.complete = f.flagOr("told", false);
    f.each("cancelled", [&](const msgpack::object& element) {
        const Fields c(element);
        s.cancelled.push_back({c.text("job"), c.integer("version")});
    });
    f.each("running", [&](const msgpack::object& element) {
        const Fields r(element);
        s.running.emplace_back(r.text("job"), static_cast<std::uint32_t>(
                                                  std::min<std::uint64_t>(r.integer("count"), kMaxTasks)));
    });
    return s;
}

std::string encodePeerStatus(const PeerStatus& s) {
    Packer p;
    p.map(12)
        .field("node", s.node)
        .field("token", s.token)
        .field("given_up", s.resignedToken)
        .field("state_age_ms", s.stateAgeMs)
        .field("hears", s.leaderToken)
        .field("promise_ms", s.grantMs);
    p.field("revision", s.revision).field("log", s.log).field("log_at", s.logAt).field("told", s.complete);
    p.key("cancelled").list(s.cancelled.size());
    for (const auto& c : s.cancelled) p.map(2).field("job", c.job).field("version", c.version);
    p.key("running").list(s.running.size());
    for (const auto& [job, count] : s.running) p.map(2).field("job", job).field("count", count);
    return p.take();
}

std::string encodeTransaction(const std::vector<KeyCondition>& conditions,
                              const std::vector<KeyWrite>& writes) {
    Packer p;
    p.map(2).key("when").list(conditions.size());
    for (const auto& c : conditions) p.map(2).field("path", c.key).field("mark", c.version);
    p.key("apply").list(writes.size());
    for (const auto& w : writes) {
        if (!w.value) {
            p.map(1).field("remove", w.key);
            continue;
        }
        p.map(w.lease ? 3 : 2).field("write", w.key).key("data").raw(*w.value);
        if (w.lease) p.field("mooring", w.lease);
    }
    return p.take();
}

TransactionReply decodeTransactionReply(std::string_view body) {
    const auto handle = unpackBody(body);
    const Fields f(handle.get());
    return {f.integer("chart"), f.texts("failed")};
}

KeyPage decodeKeyPage(const msgpack::object& body) {
    const Fields f(body);
    KeyPage page;
    f.each("entries", [&](const msgpack::object& element) {
        const Fields e(element);
        page.entries.push_back({e.text("path"), &e.need("data"), e.integer("mark")});
    });
    page.more = f.flagOr("hasNext", false);
    page.revision = f.integer("chart");
    return page;
}

KeyPage decodeWatch(const msgpack::object& body) {
    const Fields f(body);
    KeyPage page;
    f.each("log", [&](const msgpack::object& element) {
        const Fields e(element);
        if (const auto key = e.maybeText("write"))
            page.entries.push_back({*key, &e.need("data"), e.integer("mark")});
        else
            page.entries.push_back({e.text("remove"), nullptr, e.integer("mark")});
    });
    page.revision = f.integer("chart");
    return page;
}

std::string encodeLease(std::chrono::milliseconds life) {
    return Packer().map(1).field("lifeMs", life.count()).take();
}

std::uint64_t decodeLease(std::string_view body) {
    const auto handle = unpackBody(body);
    return Fields(handle.get()).integer("mooring");
}

namespace paths {

std::string rentedPage(const std::string& after, unsigned most) {
    return std::string(kRentals) + "?most=" + std::to_string(most) + (after.empty() ? "" : "&since=" + after);
}
std::string extendLease(std::uint64_t id) { return lease(id) + "/extend"; }
std::string lease(std::uint64_t id) { return std::string(kLeases) + "/" + std::to_string(id); }
std::string keyPage(const std::string& prefix, const std::string& after, unsigned most) {
    return "/kv?under=" + prefix + "&most=" + std::to_string(most) + (after.empty() ? "" : "&since=" + after);
}
std::string watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds wait) {
    return "/watch?under=" + prefix + "&since=" + std::to_string(after) +
           "&blockMs=" + std::to_string(wait.count());
}

}  // namespace paths

}  // namespace burlpoint::protocol
