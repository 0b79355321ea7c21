#include "protocol/worker_messages.h"

#include <charconv>

#include "protocol/vocabulary.h"

namespace burlpoint::protocol {

namespace {

constexpr Vocabulary<TaskState, 5> kTaskStates{{{"fetching", TaskState::fetching},
                                                {"waiting", TaskState::waiting},
                                                {"running", TaskState::running},
                                                {"saving", TaskState::saving},
                                                {"exited", TaskState::exited}}};
constexpr Vocabulary<ExitReason, 8> kReasons{{{"done", ExitReason::done},
                                              {"halted", ExitReason::stopped},
                                              {"peers", ExitReason::peers},
                                              {"alone", ExitReason::alone},
                                              {"error", ExitReason::error},
                                              {"full", ExitReason::noRoom},
                                              {"busy", ExitReason::busy},
                                              {"no_such", ExitReason::unknown}}};
constexpr Vocabulary<Op, 3> kOps{{{"start", Op::start}, {"kill", Op::stop}, {"clear", Op::forget}}};

std::string taskName(const Attempt& attempt) { return attempt.job + "/" + std::to_string(attempt.task); }

Attempt parseAttempt(const Fields& fields) {
    const auto name = fields.textView("hand");
    const auto slash = name.find('/');
    Attempt attempt;
    if (slash == std::string_view::npos || !isJobId(name.substr(0, slash)))
        throw Malformed("not a task: " + std::string(name));
    attempt.job = name.substr(0, slash);
    const char* end = name.data() + name.size();
    const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, attempt.task);
    if (error != std::errc() || stop != end || attempt.task >= kMaxTasks)
        throw Malformed("not a task: " + std::string(name));
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
    r.tasks.reserve(f.size("hands"));
    f.each("hands", [&](const msgpack::object& element) {
        const Fields t(element);
        auto& task = r.tasks.emplace_back();
        task.attempt = parseAttempt(t);
        task.state = parseWord(kTaskStates, t.textView("bearing"));
        if (task.state == TaskState::exited) task.why = parseWord(kReasons, t.textView("wreck"));
        task.saved = t.flagOr("stored", false);
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
        order.op = parseWord(kOps, f.textView("order"));
        order.attempt = parseAttempt(f);
        if (order.op == Op::stop) order.grace = Seconds(f.amount("moorS"));
        orders.push_back(std::move(order));
    });
    return orders;
}

std::string encodeElsewhere(const std::string& leader) {
    return leader.empty() ? Packer().map(0).take() : Packer().map(1).field("harbormaster", leader).take();
}

}  // namespace burlpoint::protocol
