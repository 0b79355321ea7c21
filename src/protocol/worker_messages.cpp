#include "protocol/worker_messages.h"

#include <charconv>

#include "protocol/enum_names.h"
#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::protocol {

namespace {

constexpr EnumNames<TaskState, 5> kTaskStates{{{"fetching", TaskState::fetching},
                                               {"waiting", TaskState::waiting},
                                               {"running", TaskState::running},
                                               {"saving", TaskState::saving},
                                               {"exited", TaskState::exited}}};
constexpr EnumNames<ExitReason, 8> kReasons{{{"done", ExitReason::done},
                                             {"halted", ExitReason::stopped},
                                             {"peers", ExitReason::peers},
                                             {"alone", ExitReason::alone},
                                             {"error", ExitReason::error},
                                             {"full", ExitReason::noRoom},
                                             {"busy", ExitReason::busy},
                                             {"no_such", ExitReason::unknown}}};
constexpr EnumNames<CommandKind, 3> kCommandKinds{
    {{"start", CommandKind::start}, {"kill", CommandKind::stop}, {"clear", CommandKind::acknowledge}}};

std::string taskName(const Attempt& attempt) { return attempt.job + "/" + std::to_string(attempt.task); }

Attempt parseAttempt(const MapReader& fields) {
    const auto name = fields.textView("hand");
    const auto slash = name.find('/');
    Attempt attempt;
    if (slash == std::string_view::npos || !isJobId(name.substr(0, slash)))
        throw MalformedMessage("not a task: " + std::string(name));
    attempt.job = name.substr(0, slash);
    const char* end = name.data() + name.size();
    const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, attempt.task);
    if (error != std::errc() || stop != end || attempt.task >= kMaxTasks)
        throw MalformedMessage("not a task: " + std::string(name));
    attempt.number = fields.integer("launch");
    return attempt;
}

void packCommands(MessagePacker& packer, const std::vector<WorkerCommand>& commands) {
    packer.key("orders").list(commands.size());
    for (const auto& command : commands) {
        packer.map(command.kind == CommandKind::stop ? 4 : 3);
        packer.field("order", enumName(kCommandKinds, command.kind));
        packer.field("hand", taskName(command.attempt));
        packer.field("launch", command.attempt.number);
        if (command.kind == CommandKind::stop) packer.field("moorS", command.grace.count());
    }
}

}  // namespace

Heartbeat decodeHeartbeat(std::string_view body) {
    const auto handle = unpackBody(body);
    const MapReader f(handle.get());
    Heartbeat r;
    r.machine = f.text("bollard");
    r.address = f.text("address");
    r.type = f.text("hull");
    r.zone = f.text("quay");
    r.spot = f.flag("driftwood");
    r.incarnation = f.integer("watch");
    r.sequence = f.integer("knot");
    r.fencingToken = f.integer("helm");
    if (const auto interruptionNotice = f.maybeAmount("recallS"))
        r.interruptionNotice = Seconds(*interruptionNotice);
    r.tasks.reserve(f.size("hands"));
    f.each("hands", [&](const msgpack::object& element) {
        const MapReader t(element);
        auto& task = r.tasks.emplace_back();
        task.attempt = parseAttempt(t);
        task.state = parseEnum(kTaskStates, t.textView("bearing"));
        if (task.state == TaskState::exited) task.why = parseEnum(kReasons, t.textView("wreck"));
        task.saved = t.flagOr("stored", false);
    });
    return r;
}

std::string encodeHeartbeat(const Heartbeat& r) {
    MessagePacker p;
    p.map(10).field("bollard", r.machine).field("address", r.address).field("hull", r.type);
    p.field("quay", r.zone)
        .field("driftwood", r.spot)
        .field("watch", r.incarnation)
        .field("knot", r.sequence);
    p.field("helm", r.fencingToken);
    r.interruptionNotice ? p.field("recallS", r.interruptionNotice->count()) : p.nil("recallS");
    p.key("hands").list(r.tasks.size());
    for (const auto& task : r.tasks) {
        const bool exited = task.state == TaskState::exited;
        p.map(3 + exited + task.saved);
        p.field("hand", taskName(task.attempt)).field("launch", task.attempt.number);
        p.field("bearing", enumName(kTaskStates, task.state));
        if (exited) p.field("wreck", enumName(kReasons, task.why));
        if (task.saved) p.field("stored", true);
    }
    return p.take();
}

std::string encodeHeartbeatResponse(std::uint64_t fencingToken, const std::vector<WorkerCommand>& commands) {
    MessagePacker p;
    p.map(2).field("helm", fencingToken);
    packCommands(p, commands);
    return p.take();
}

std::string encodeDirectCommands(std::uint64_t fencingToken, std::uint64_t incarnation,
                                 const std::vector<WorkerCommand>& commands) {
    MessagePacker p;
    p.map(3).field("helm", fencingToken).field("watch", incarnation);
    packCommands(p, commands);
    return p.take();
}

std::vector<WorkerCommand> decodeCommands(std::string_view body) {
    const auto handle = unpackBody(body);
    std::vector<WorkerCommand> commands;
    MapReader(handle.get()).each("orders", [&](const msgpack::object& element) {
        const MapReader f(element);
        WorkerCommand command;
        command.kind = parseEnum(kCommandKinds, f.textView("order"));
        command.attempt = parseAttempt(f);
        if (command.kind == CommandKind::stop) command.grace = Seconds(f.amount("moorS"));
        commands.push_back(std::move(command));
    });
    return commands;
}

std::string encodeRedirect(const std::string& leader) {
    return leader.empty() ? MessagePacker().map(0).take()
                          : MessagePacker().map(1).field("harbormaster", leader).take();
}

}  // namespace burlpoint::protocol
