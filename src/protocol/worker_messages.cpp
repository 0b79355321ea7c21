#include "protocol/worker_messages.h"

#include <charconv>

#include "protocol/enum_names.h"
#include "protocol/errors.h"
#include "protocol/map_reader.h"
#include "protocol/message_packer.h"
#include "protocol/wire_names.h"

namespace burlpoint::protocol {

namespace {

constexpr EnumNames<TaskState, 5> kTaskStates{{{"fetching", TaskState::fetching},
                                               {"waiting", TaskState::waiting},
                                               {"running", TaskState::running},
                                               {"saving", TaskState::saving},
                                               {"exited", TaskState::exited}}};
constexpr EnumNames<ExitReason, 8> kExitReasons{{{"done", ExitReason::done},
                                                 {"halted", ExitReason::stopped},
                                                 {"peers", ExitReason::gangMemberExited},
                                                 {"alone", ExitReason::gangTimedOut},
                                                 {"error", ExitReason::error},
                                                 {"full", ExitReason::machineFull},
                                                 {"busy", ExitReason::busy},
                                                 {"no_such", ExitReason::unknownAttempt}}};
constexpr EnumNames<CommandKind, 3> kCommandKinds{
    {{"start", CommandKind::start}, {"kill", CommandKind::stop}, {"clear", CommandKind::acknowledge}}};

std::string taskName(const Attempt& attempt) { return attempt.job + "/" + std::to_string(attempt.task); }

[[noreturn]] void throwNotATask(std::string_view name) {
    throw MalformedMessage("not a task: " + std::string(name));
}

Attempt decodeAttempt(const MapReader& fields) {
    const auto name = fields.textView(wire::worker::kTask);
    const auto slash = name.find('/');
    if (slash == std::string_view::npos || !isJobId(name.substr(0, slash))) throwNotATask(name);
    Attempt attempt;
    attempt.job = name.substr(0, slash);
    const char* end = name.data() + name.size();
    const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, attempt.task);
    if (error != std::errc() || stop != end || attempt.task >= kMaxTasks) throwNotATask(name);
    attempt.number = fields.integer(wire::worker::kAttempt);
    return attempt;
}

void packAttempt(MessagePacker& packer, const Attempt& attempt) {
    packer.field(wire::worker::kTask, taskName(attempt));
    packer.field(wire::worker::kAttempt, attempt.number);
}

TaskStatus decodeTaskStatus(const MapReader& fields) {
    TaskStatus task;
    task.attempt = decodeAttempt(fields);
    task.state = parseEnum(kTaskStates, fields.textView(wire::kState));
    if (task.state == TaskState::exited)
        task.exitReason = parseEnum(kExitReasons, fields.textView(wire::worker::kExitReason));
    task.checkpointed = fields.flagOr(wire::worker::kCheckpointed, false);
    return task;
}

void packTaskStatus(MessagePacker& packer, const TaskStatus& task) {
    const bool exited = task.state == TaskState::exited;
    packer.map(3 + exited + task.checkpointed);
    packAttempt(packer, task.attempt);
    packer.field(wire::kState, enumName(kTaskStates, task.state));
    if (exited) packer.field(wire::worker::kExitReason, enumName(kExitReasons, task.exitReason));
    if (task.checkpointed) packer.field(wire::worker::kCheckpointed, true);
}

void packCommands(MessagePacker& packer, const std::vector<WorkerCommand>& commands) {
    packer.key(wire::worker::kCommands).list(commands.size());
    for (const auto& command : commands) {
        const bool hasGrace = command.kind == CommandKind::stop;
        packer.map(hasGrace ? 4 : 3);
        packer.field(wire::worker::kCommandKind, enumName(kCommandKinds, command.kind));
        packAttempt(packer, command.attempt);
        if (hasGrace) packer.field(wire::worker::kGraceS, command.grace.count());
    }
}

}  // namespace

Heartbeat decodeHeartbeat(std::string_view body) {
    const auto handle = unpackBody(body);
    const MapReader fields(handle.get());
    Heartbeat heartbeat;
    heartbeat.machine = fields.text(wire::kMachine);
    heartbeat.address = fields.text(wire::kAddress);
    heartbeat.type = fields.text(wire::kMachineType);
    heartbeat.zone = fields.text(wire::kZone);
    heartbeat.spot = fields.flag(wire::kSpot);
    heartbeat.incarnation = fields.integer(wire::worker::kIncarnation);
    heartbeat.sequence = fields.integer(wire::worker::kSequence);
    heartbeat.fencingToken = fields.integer(wire::worker::kFencingToken);
    if (const auto notice = fields.maybeAmount(wire::worker::kInterruptionNoticeS))
        heartbeat.interruptionNotice = Seconds(*notice);
    heartbeat.tasks.reserve(fields.size(wire::kTasks));
    fields.each(wire::kTasks, [&](const msgpack::object& element) {
        heartbeat.tasks.push_back(decodeTaskStatus(MapReader(element)));
    });
    return heartbeat;
}

std::string encodeHeartbeat(const Heartbeat& heartbeat) {
    MessagePacker packer;
    packer.map(10);
    packer.field(wire::kMachine, heartbeat.machine);
    packer.field(wire::kAddress, heartbeat.address);
    packer.field(wire::kMachineType, heartbeat.type);
    packer.field(wire::kZone, heartbeat.zone);
    packer.field(wire::kSpot, heartbeat.spot);
    packer.field(wire::worker::kIncarnation, heartbeat.incarnation);
    packer.field(wire::worker::kSequence, heartbeat.sequence);
    packer.field(wire::worker::kFencingToken, heartbeat.fencingToken);
    if (heartbeat.interruptionNotice)
        packer.field(wire::worker::kInterruptionNoticeS, heartbeat.interruptionNotice->count());
    else
        packer.nil(wire::worker::kInterruptionNoticeS);
    packer.key(wire::kTasks).list(heartbeat.tasks.size());
    for (const auto& task : heartbeat.tasks) packTaskStatus(packer, task);
    return packer.str();
}

std::string encodeHeartbeatResponse(std::uint64_t fencingToken, const std::vector<WorkerCommand>& commands) {
    MessagePacker packer;
    packer.map(2).field(wire::worker::kFencingToken, fencingToken);
    packCommands(packer, commands);
    return packer.str();
}

std::string encodeDirectCommands(std::uint64_t fencingToken, std::uint64_t incarnation,
                                 const std::vector<WorkerCommand>& commands) {
    MessagePacker packer;
    packer.map(3).field(wire::worker::kFencingToken, fencingToken);
    packer.field(wire::worker::kIncarnation, incarnation);
    packCommands(packer, commands);
    return packer.str();
}

std::vector<WorkerCommand> decodeCommands(std::string_view body) {
    const auto handle = unpackBody(body);
    std::vector<WorkerCommand> commands;
    MapReader(handle.get()).each(wire::worker::kCommands, [&](const msgpack::object& element) {
        const MapReader fields(element);
        WorkerCommand command;
        command.kind = parseEnum(kCommandKinds, fields.textView(wire::worker::kCommandKind));
        command.attempt = decodeAttempt(fields);
        if (command.kind == CommandKind::stop) command.grace = Seconds(fields.amount(wire::worker::kGraceS));
        commands.push_back(std::move(command));
    });
    return commands;
}

std::string encodeRedirect(const std::string& leader) {
    MessagePacker packer;
    if (leader.empty()) return packer.map(0).str();
    return packer.map(1).field(wire::worker::kLeader, leader).str();
}

}  // namespace burlpoint::protocol
