// Encoding and decoding of all messages and records: decoding an encoded value yields the same value, and
// decoders of untrusted bytes throw nothing but `MalformedMessage`.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/clock.h"
#include "protocol/cloud_messages.h"
#include "protocol/errors.h"
#include "protocol/job_messages.h"
#include "protocol/msgpack_codec.h"
#include "protocol/peer_messages.h"
#include "protocol/store_messages.h"
#include "protocol/worker_messages.h"
#include "storage/records.h"

using namespace burlpoint;
using namespace burlpoint::protocol;

namespace {

rc::Gen<std::string> anyName() {
    return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcxyz-019"))));
}
std::string shortName() { return (*anyName()).substr(0, 40); }
double amount() { return *rc::gen::inRange(0, 100'000) / 8.0; }
std::string jobId() { return "wk-" + std::to_string(*rc::gen::inRange(0, 1'000'000)); }
std::uint64_t anyUint64() { return *rc::gen::arbitrary<std::uint64_t>(); }

JobSpec spec() {
    JobSpec s;
    s.id = jobId();
    s.jobClass = shortName();
    s.team = shortName();
    s.kind = *rc::gen::element(JobKind::array, JobKind::gang, JobKind::service);
    s.priority = *rc::gen::element(Priority::low, Priority::normal, Priority::high, Priority::production);
    s.tasks = *rc::gen::inRange<std::uint32_t>(1, kMaxTasks + 1);
    s.cpus = amount();
    s.gpus = amount();
    s.memoryGb = amount();
    s.image = shortName();
    s.imageGb = amount();
    if (*rc::gen::arbitrary<bool>()) s.types = std::vector<std::string>{shortName(), shortName()};
    if (*rc::gen::arbitrary<bool>()) s.zone = shortName();
    s.singleZone = *rc::gen::arbitrary<bool>();
    s.spreadZones = *rc::gen::arbitrary<bool>();
    s.spot = *rc::gen::arbitrary<bool>();
    s.estimatedRunTime = Seconds(amount());
    s.checkpointInterval = Seconds(amount());
    s.saveTime = Seconds(amount());
    if (*rc::gen::arbitrary<bool>()) s.deadline = Seconds(amount());
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
        s.dependencies.push_back("wk-" + std::to_string(i) + std::to_string(*rc::gen::inRange(0, 1000)));
    return s;
}

Heartbeat heartbeat() {
    Heartbeat r{shortName(), "10.0.0.1:9000", shortName(), shortName(), *rc::gen::arbitrary<bool>(),
                anyUint64(), anyUint64(),     anyUint64(), {},          {}};
    if (*rc::gen::arbitrary<bool>()) r.interruptionNotice = Seconds(amount());
    const int tasks = *rc::gen::inRange(0, 20);
    for (int i = 0; i < tasks; ++i) {
        TaskStatus t;
        t.attempt = {jobId(), *rc::gen::inRange<std::uint32_t>(0, kMaxTasks), anyUint64()};
        t.state = *rc::gen::element(TaskState::fetching, TaskState::waiting, TaskState::running,
                                    TaskState::saving, TaskState::exited);
        if (t.state == TaskState::exited) {
            t.exitReason = *rc::gen::element(
                ExitReason::done, ExitReason::stopped, ExitReason::gangMemberExited, ExitReason::gangTimedOut,
                ExitReason::error, ExitReason::machineFull, ExitReason::busy, ExitReason::unknownAttempt);
            t.checkpointed = *rc::gen::arbitrary<bool>();
        }
        r.tasks.push_back(t);
    }
    return r;
}

/// Runs a decoder on corrupted bytes. Fails if it throws anything but `MalformedMessage`.
template <typename Decode>
void decodeCorrupted(std::string bytes, Decode decode) {
    const int corruptions = *rc::gen::inRange(0, 6);
    for (int i = 0; i < corruptions && !bytes.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        switch (*rc::gen::inRange(0, 3)) {
            case 0:
                bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
                break;
            case 1:
                bytes.resize(at);
                break;
            default:
                bytes.insert(at, 1, static_cast<char>(*rc::gen::inRange(0, 256)));
        }
    }
    try {
        decode(bytes);
    } catch (const MalformedMessage&) {
    }
}

std::string packed(const JobSpec& s) {
    MessagePacker p;
    packSpec(p, s);
    return p.str();
}

}  // namespace

RC_GTEST_PROP(Codec, SpecRoundTrip, ()) {
    const auto s = spec();
    const auto bytes = packed(s);
    RC_ASSERT(decodeSpec(unpackBody(bytes).get()) == s);
    decodeCorrupted(bytes, [](const std::string& b) { decodeSpec(unpackBody(b).get()); });
}

RC_GTEST_PROP(Codec, HeartbeatRoundTrip, ()) {
    const auto r = heartbeat();
    const auto bytes = encodeHeartbeat(r);
    RC_ASSERT(decodeHeartbeat(bytes) == r);
    decodeCorrupted(bytes, [](const std::string& b) { decodeHeartbeat(b); });
}

RC_GTEST_PROP(Codec, CommandsRoundTrip, ()) {
    std::vector<WorkerCommand> commands;
    const int count = *rc::gen::inRange(0, 10);
    for (int i = 0; i < count; ++i) {
        WorkerCommand command{
            *rc::gen::element(CommandKind::start, CommandKind::stop, CommandKind::acknowledge),
            {jobId(), 7, anyUint64()},
            Seconds(0)};
        if (command.kind == CommandKind::stop) command.grace = Seconds(amount());
        commands.push_back(command);
    }
    RC_ASSERT(decodeCommands(encodeHeartbeatResponse(anyUint64(), commands)) == commands);
    const auto direct = encodeDirectCommands(anyUint64(), anyUint64(), commands);
    RC_ASSERT(decodeCommands(direct) == commands);
    decodeCorrupted(direct, [](const std::string& b) { decodeCommands(b); });
}

RC_GTEST_PROP(Codec, JobRecordRoundTrip, ()) {
    storage::JobRecord r;
    r.spec = spec();
    r.terminalState = *rc::gen::element(storage::TerminalState::none, storage::TerminalState::done,
                                        storage::TerminalState::cancelled);
    r.acceptedMs = anyUint64();
    r.done = *rc::gen::inRange<std::uint32_t>(0, r.spec.tasks + 1);
    r.chunkTasks = *rc::gen::inRange<std::uint32_t>(1, 1u << 20);
    const auto bytes = storage::encodeJob(r);
    RC_ASSERT(storage::decodeJob(unpackBody(bytes).get()) == r);
    decodeCorrupted(bytes, [](const std::string& b) { storage::decodeJob(unpackBody(b).get()); });
}

RC_GTEST_PROP(Codec, BitmapChunksRoundTrip, ()) {
    const auto tasks = *rc::gen::inRange<std::size_t>(1, 3000);
    const auto chunk = *rc::gen::inRange<std::size_t>(1, 500) * 4;
    std::vector<bool> bits(tasks), decoded(tasks);
    for (std::size_t i = 0; i < tasks; ++i) bits[i] = *rc::gen::inRange(0, 3) == 0;
    for (std::size_t first = 0; first < tasks; first += chunk) {
        const auto value = storage::encodeBits(bits, first, chunk);
        RC_ASSERT(value.size() <= chunk / 4 + 5);
        storage::decodeBits(unpackBody(value).get(), decoded, first, chunk);
    }
    RC_ASSERT(decoded == bits);
}

RC_GTEST_PROP(Codec, PeerStatusRoundTrip, ()) {
    PeerStatus s{shortName(),
                 anyUint64(),
                 anyUint64(),
                 anyUint64(),
                 5,
                 7,
                 {{jobId(), 3}, {jobId(), kMaxTasks}},
                 anyUint64(),
                 anyUint64(),
                 anyUint64(),
                 {{jobId(), anyUint64()}, {jobId(), 1}},
                 true};
    const auto bytes = encodePeerStatus(s);
    RC_ASSERT(decodePeerStatus(bytes) == s);
    decodeCorrupted(bytes, [](const std::string& b) { decodePeerStatus(b); });
}

RC_GTEST_PROP(Codec, ArbitraryBytesThrowNothingButMalformedMessage, (const std::string& bytes)) {
    const auto tryDecode = [&](auto decode) {
        try {
            decode();
        } catch (const MalformedMessage&) {
        }
    };
    tryDecode([&] { decodeHeartbeat(bytes); });
    tryDecode([&] { decodeInstancePage(bytes); });
    tryDecode([&] { decodeInstanceIds(bytes); });
    tryDecode([&] { decodeTransactionReply(bytes); });
    tryDecode([&] { decodeWatch(unpackBody(bytes).get()); });
    tryDecode([&] { decodeKeyPage(unpackBody(bytes).get()); });
    tryDecode([&] { decodeMachineTypes(unpackBody(bytes).get()); });
    tryDecode([&] { decodeLease(bytes); });
    isCapacityError(bytes);
}

TEST(Codec, LengthsBeyondTheBodyAreMalformed) {
    // A list of 2^32-1 elements, a map, a text and deep nesting, each in a few bytes.
    for (const auto& bytes : {std::string("\xdd\xff\xff\xff\xff", 5), std::string("\xdf\xff\xff\xff\xff", 5),
                              std::string("\xdb\xff\xff\xff\xff", 5), std::string(5000, '\x91')})
        EXPECT_THROW(unpackBody(bytes), MalformedMessage);
}

/// Decodes the body of a submission.
static JobSpec decodeBody(const std::string& body) { return decodeSpec(unpackBody(body).get()); }

TEST(Codec, SpecWithInvalidFieldIsRefused) {
    JobSpec valid;
    valid.id = "wk-000412";
    valid.jobClass = valid.team = valid.image = "x";
    EXPECT_NO_THROW(decodeBody(packed(valid)));
    const auto expectRefusal = [&](auto change) {
        auto s = valid;
        change(s);
        EXPECT_THROW(decodeBody(packed(s)), MalformedMessage);
    };
    expectRefusal([](auto& s) { s.id = "wk-"; });
    expectRefusal([](auto& s) { s.id = "job-12"; });
    expectRefusal([](auto& s) { s.tasks = 0; });
    expectRefusal([](auto& s) { s.tasks = kMaxTasks + 1; });
    expectRefusal([](auto& s) { s.cpus = -1; });
    expectRefusal([](auto& s) { s.memoryGb = std::numeric_limits<double>::infinity(); });
    expectRefusal([](auto& s) { s.estimatedRunTime = Seconds(std::nan("")); });
    EXPECT_THROW(decodeBody(MessagePacker().map(1).field("uid", "wk-1").str()), MalformedMessage);
    EXPECT_THROW(decodeBody(MessagePacker().list(0).str()), MalformedMessage);
}
