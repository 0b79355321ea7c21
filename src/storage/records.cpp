#include "storage/records.h"

#include <algorithm>

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::storage {

using protocol::MalformedMessage;
using protocol::MapReader;
using protocol::MessagePacker;

namespace {

// The names of the stored fields. A job's record also holds the fields of its spec, as in a submission.
namespace field {
constexpr char kTerminalState[] = "final";
constexpr char kAcceptedMs[] = "accepted_ms";
constexpr char kEndedMs[] = "ended_ms";
constexpr char kTasksDone[] = "tasks_done";
constexpr char kChunkTasks[] = "chunk_tasks";
constexpr char kNode[] = "node";
constexpr char kFencingToken[] = "token";
constexpr char kAddress[] = "address";
constexpr char kType[] = "type";
constexpr char kZone[] = "zone";
constexpr char kSpot[] = "spot";
}  // namespace field

constexpr std::size_t kJobFieldsBesideSpec = 5;
constexpr std::uint32_t kMaxChunkTasks = 1u << 30;

TerminalState terminalStateOf(const MapReader& fields) {
    const auto stored = fields.integer(field::kTerminalState);
    if (stored > static_cast<unsigned>(TerminalState::cancelled))
        throw MalformedMessage("field final is invalid");
    return static_cast<TerminalState>(stored);
}

std::uint32_t chunkTasksOf(const MapReader& fields) {
    const auto stored = fields.integer(field::kChunkTasks);
    if (stored < 1 || stored > kMaxChunkTasks) throw MalformedMessage("field chunk_tasks is invalid");
    return static_cast<std::uint32_t>(stored);
}

}  // namespace

std::string encodeJob(const JobRecord& record) {
    MessagePacker packer;
    protocol::packSpec(packer, record.spec, kJobFieldsBesideSpec);
    packer.field(field::kTerminalState, static_cast<unsigned>(record.terminalState));
    packer.field(field::kAcceptedMs, record.acceptedMs);
    packer.field(field::kTasksDone, record.done);
    packer.field(field::kChunkTasks, record.chunkTasks);
    packer.field(field::kEndedMs, record.endedMs);
    return packer.str();
}

std::string encodeTerminatedJob(JobRecord record, std::size_t maxBytes) {
    auto value = encodeJob(record);
    if (protocol::jsonBytes(value) <= maxBytes) return value;
    record.spec.types.reset();
    record.spec.dependencies.clear();
    value = encodeJob(record);
    if (protocol::jsonBytes(value) <= maxBytes) return value;
    // The decoder requires these fields, but their values are not used after the job has ended.
    record.spec.zone.reset();
    for (auto* text : {&record.spec.jobClass, &record.spec.team, &record.spec.image}) text->assign(1, '-');
    return encodeJob(record);
}

bool jobFits(const protocol::JobSpec& spec, std::size_t maxBytes) {
    constexpr std::uint64_t kLongestTimeMs = 99'999'999'999'999;  // one digit more than present times have
    const JobRecord longest{spec,       TerminalState::cancelled, kLongestTimeMs,
                            spec.tasks, kMaxChunkTasks,           kLongestTimeMs};
    return protocol::jsonBytes(encodeJob(longest)) <= maxBytes;
}

JobRecord decodeJob(const msgpack::object& value) {
    const MapReader fields(value);
    JobRecord record;
    record.spec = protocol::decodeSpec(value);
    record.terminalState = terminalStateOf(fields);
    record.acceptedMs = fields.integer(field::kAcceptedMs);
    const auto done = fields.integer(field::kTasksDone);
    record.done = static_cast<std::uint32_t>(std::min<std::uint64_t>(done, record.spec.tasks));
    record.chunkTasks = chunkTasksOf(fields);
    record.endedMs = fields.integerOr(field::kEndedMs, 0);
    return record;
}

std::string encodeLeader(const LeaderRecord& record) {
    MessagePacker packer;
    packer.map(2).field(field::kNode, record.node).field(field::kFencingToken, record.fencingToken);
    return packer.str();
}

LeaderRecord decodeLeader(const msgpack::object& value) {
    const MapReader fields(value);
    return {fields.text(field::kNode), fields.integer(field::kFencingToken)};
}

std::string encodeToken(std::uint64_t fencingToken) {
    return MessagePacker().map(1).field(field::kFencingToken, fencingToken).str();
}

std::uint64_t decodeToken(const msgpack::object& value) {
    return MapReader(value).integer(field::kFencingToken);
}

std::string encodeMachine(const MachineRecord& record) {
    MessagePacker packer;
    packer.map(4);
    packer.field(field::kAddress, record.address);
    packer.field(field::kType, record.type);
    packer.field(field::kZone, record.zone);
    packer.field(field::kSpot, record.spot);
    return packer.str();
}

MachineRecord decodeMachine(const msgpack::object& value) {
    const MapReader fields(value);
    return {fields.text(field::kAddress), fields.text(field::kType), fields.text(field::kZone),
            fields.flag(field::kSpot)};
}

}  // namespace burlpoint::storage
