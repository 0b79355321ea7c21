#include "storage/records.h"

#include <algorithm>

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::storage {

using protocol::MalformedMessage;
using protocol::MapReader;
using protocol::MessagePacker;

namespace keys {
std::string job(const std::string& id) { return kJobs + id; }
std::string doneChunk(const std::string& id, std::size_t chunk) {
    return kJobs + id + "/" + std::to_string(chunk);
}
std::string donePart(const std::string& id, std::size_t first, std::size_t end) {
    return doneChunk(id, first).append("-").append(std::to_string(end));
}
std::string machine(const std::string& id) { return kMachines + id; }
}  // namespace keys

std::string encodeJob(const JobRecord& r) {
    MessagePacker p;
    protocol::packSpec(p, r.spec, 5);
    p.field("final", static_cast<unsigned>(r.terminalState)).field("accepted_ms", r.acceptedMs);
    p.field("tasks_done", r.done).field("chunk_tasks", r.chunkTasks);
    return p.field("ended_ms", r.endedMs).take();
}

std::string encodeTerminatedJob(JobRecord record, std::size_t maxBytes) {
    auto value = encodeJob(record);
    if (protocol::jsonBytes(value) <= maxBytes) return value;
    record.spec.types.reset();
    record.spec.dependencies.clear();
    value = encodeJob(record);
    if (protocol::jsonBytes(value) <= maxBytes) return value;
    record.spec.zone.reset();
    for (auto* text : {&record.spec.jobClass, &record.spec.team, &record.spec.image}) text->assign(1, '-');
    return encodeJob(record);
}

bool jobFits(const protocol::JobSpec& spec, std::size_t maxBytes) {
    constexpr std::uint64_t kLate = 99'999'999'999'999;  // a time of day with a digit more than today's
    const auto value = encodeJob({spec, TerminalState::cancelled, kLate, spec.tasks, 1u << 30, kLate});
    return protocol::jsonBytes(value) <= maxBytes;
}

JobRecord decodeJob(const msgpack::object& value) {
    const MapReader f(value);
    JobRecord r;
    r.spec = protocol::decodeSpec(value);
    const auto terminalState = f.integer("final");
    if (terminalState > static_cast<unsigned>(TerminalState::cancelled))
        throw MalformedMessage("field final is invalid");
    r.terminalState = static_cast<TerminalState>(terminalState);
    r.acceptedMs = f.integer("accepted_ms");
    r.done = static_cast<std::uint32_t>(std::min<std::uint64_t>(f.integer("tasks_done"), r.spec.tasks));
    const auto chunk = f.integer("chunk_tasks");
    if (chunk < 1 || chunk > 1u << 30) throw MalformedMessage("field chunk_tasks is invalid");
    r.chunkTasks = static_cast<std::uint32_t>(chunk);
    r.endedMs = f.integerOr("ended_ms", 0);
    return r;
}

std::string encodeLeader(const LeaderRecord& r) {
    return MessagePacker().map(2).field("node", r.node).field("token", r.fencingToken).take();
}

LeaderRecord decodeLeader(const msgpack::object& value) {
    const MapReader f(value);
    return {f.text("node"), f.integer("token")};
}

std::string encodeToken(std::uint64_t fencingToken) {
    return MessagePacker().map(1).field("token", fencingToken).take();
}

std::uint64_t decodeToken(const msgpack::object& value) { return MapReader(value).integer("token"); }

std::string encodeMachine(const MachineRecord& r) {
    MessagePacker p;
    p.map(4).field("address", r.address).field("type", r.type).field("zone", r.zone);
    return p.field("spot", r.spot).take();
}

MachineRecord decodeMachine(const msgpack::object& value) {
    const MapReader f(value);
    return {f.text("address"), f.text("type"), f.text("zone"), f.flag("spot")};
}

std::uint32_t chunkTasks(double maxValueKb) {
    // Half of a value's bytes, which leaves room for what else the service may count.
    return std::max<std::uint32_t>(4,
                                   static_cast<std::uint32_t>(std::min(maxValueKb, 1024.0) * 1024 / 2) * 4);
}

std::string encodeBits(const std::vector<bool>& bits, std::size_t first, std::size_t count) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string text;
    const auto end = std::min(bits.size(), first + count);
    for (auto at = first; at < end; at += 4) {
        unsigned digit = 0;
        for (std::size_t bit = 0; bit < 4 && at + bit < end; ++bit) digit |= bits[at + bit] ? 1u << bit : 0u;
        text += kDigits[digit];
    }
    return MessagePacker().value(text).take();
}

void decodeBits(const msgpack::object& value, std::vector<bool>& bits, std::size_t first, std::size_t count) {
    if (value.type != msgpack::type::STR) throw MalformedMessage("a bitmap is not text");
    const auto end = std::min(bits.size(), first + count);
    auto at = first;
    for (const char c : std::string_view(value.via.str.ptr, value.via.str.size)) {
        const bool digit = c >= '0' && c <= '9', letter = c >= 'a' && c <= 'f';
        if (!digit && !letter) throw MalformedMessage("a bitmap has a wrong digit");
        const auto four = static_cast<unsigned>(digit ? c - '0' : c - 'a' + 10);
        for (unsigned bit = 0; bit < 4; ++bit, ++at)
            if (at < end && (four >> bit & 1u)) bits[at] = true;
    }
}

}  // namespace burlpoint::storage
