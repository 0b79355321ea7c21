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

/// The state in which a job has ended; `none`: it has not. The values are stored.
enum class TerminalState { none, done, cancelled };

/// An accepted job. The bitmap of its finished tasks is stored under keys of its own until the job has ended.
struct JobRecord {
    protocol::JobSpec spec;
    TerminalState terminalState = TerminalState::none;
    std::uint64_t acceptedMs = 0;  ///< time of day, in milliseconds since 1970
    std::uint32_t done = 0;        ///< tasks done; meaningful once the job has ended
    std::uint32_t chunkTasks = 1;  ///< tasks per bitmap chunk; never changes after the job was accepted
    std::uint64_t endedMs = 0;     ///< time of day at which the job was done; 0: written by an older version
    bool operator==(const JobRecord&) const = default;
};

/// The controller that leads.
struct LeaderRecord {
    std::string node;  ///< the controller's name
    std::uint64_t fencingToken = 0;
};

/// A worker machine that has registered.
struct MachineRecord {
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    bool operator==(const MachineRecord&) const = default;
};

// Each encode function returns a packed value. Each decode function throws `protocol::MalformedMessage`.

std::string encodeJob(const JobRecord& record);
JobRecord decodeJob(const msgpack::object& value);
/// The record of a job that has ended. If it takes more than `maxBytes` as JSON, fields that an ended job
/// does not need are left out: a job accepted under a higher limit must be able to end under a lower one.
std::string encodeTerminatedJob(JobRecord record, std::size_t maxBytes);
/// Whether the record of a job with this spec, at its longest, takes at most `maxBytes` as JSON.
bool jobFits(const protocol::JobSpec& spec, std::size_t maxBytes);

std::string encodeLeader(const LeaderRecord& record);
LeaderRecord decodeLeader(const msgpack::object& value);

std::string encodeToken(std::uint64_t fencingToken);
std::uint64_t decodeToken(const msgpack::object& value);

std::string encodeMachine(const MachineRecord& record);
MachineRecord decodeMachine(const msgpack::object& value);

}  // namespace burlpoint::storage
