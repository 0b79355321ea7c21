#pragma once

// The records that controllers store in the key-value store, and their encoding as MessagePack. The encoding
// is a stored format: controllers of different versions read each other's records. Holds no state.

#include <cstddef>
#include <cstdint>
#include <msgpack/object_fwd.hpp>
#include <string>

#include "protocol/job_messages.h"
#include "storage/keys.h"
#include "storage/task_bitmap.h"

namespace burlpoint::storage {

/// The state in which a job has ended, or `none` for an open job. The numeric values are stored.
enum class TerminalState { none, done, cancelled };

/// An accepted job. Until the job ends, the bitmap of its finished tasks is stored under separate keys.
struct JobRecord {
    protocol::JobSpec spec;
    TerminalState terminalState = TerminalState::none;
    std::uint64_t acceptedMs = 0;  ///< wall-clock time, in milliseconds since 1970
    std::uint32_t done = 0;        ///< number of tasks done; meaningful once the job has ended
    std::uint32_t chunkTasks = 1;  ///< tasks per bitmap chunk; never changes after the job was accepted
    /// Wall-clock time at which the job was done, in milliseconds since 1970. 0 for any other job, or if an
    /// older version of the controller wrote the record.
    std::uint64_t endedMs = 0;
    bool operator==(const JobRecord&) const = default;
};

/// The current leader.
struct LeaderRecord {
    std::string node;  ///< name of the leading controller
    std::uint64_t fencingToken = 0;
};

/// A machine in the machine registry. The address is empty until the machine has sent a heartbeat.
struct MachineRecord {
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    bool operator==(const MachineRecord&) const = default;
};

// Each encode function returns a value in MessagePack. Each decode function throws
// `protocol::MalformedMessage` if the value is malformed.

std::string encodeJob(const JobRecord& record);
JobRecord decodeJob(const msgpack::object& value);
/// Encodes the record of a job that has ended. If it exceeds `maxBytes` as JSON, the form in which the
/// key-value store limits the size of values, fields that an ended job does not need are omitted or
/// shortened: a job accepted under a higher limit must be able to end under a lower one.
std::string encodeTerminatedJob(JobRecord record, std::size_t maxBytes);
/// True if the longest possible record of a job with this spec has at most `maxBytes` as JSON.
bool jobFits(const protocol::JobSpec& spec, std::size_t maxBytes);

std::string encodeLeader(const LeaderRecord& record);
LeaderRecord decodeLeader(const msgpack::object& value);

std::string encodeToken(std::uint64_t fencingToken);
std::uint64_t decodeToken(const msgpack::object& value);

std::string encodeMachine(const MachineRecord& record);
MachineRecord decodeMachine(const msgpack::object& value);

}  // namespace burlpoint::storage
