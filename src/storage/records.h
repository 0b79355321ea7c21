#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/cloud_messages.h"
#include "protocol/job_messages.h"

namespace burlpoint::storage {

/// Where things stand in the key-value store. All keys share one prefix, so one watch sees everything, and a
/// job's record sorts before the chunks of its bitmap.
namespace keys {
inline constexpr char kAll[] = "bp/";
inline constexpr char kLeader[] = "bp/leader";
inline constexpr char kToken[] = "bp/token";
inline constexpr char kTypes[] = "bp/types";
inline constexpr char kJobs[] = "bp/job/";
inline constexpr char kMachines[] = "bp/machine/";
std::string job(const std::string& id);
std::string doneChunk(const std::string& id, std::size_t chunk);
/// Tasks [first, end) of a bitmap whose chunk is too large for the key-value store's next limits. The key
/// names the whole range, so that a part of another size never takes the place of one with more bits.
///
/// Versions that know only chunks read this key as no number and pass over it, without a fault. To them the
/// job merely has fewer bits than are stored, as if these had yet to be written, so nothing that they do on
/// that can break a rule or lose a bit: a task that they start once more exits with "done" as soon as it has
/// its image, they call the job done only after they have seen each of its tasks done, which then is true,
/// and the chunks that they write are other keys. Nor may the bits go under a chunk's key: those versions
/// place a value's first digit at the chunk's first task, so no value within the limit reaches the chunk's
/// later tasks, and a smaller `chunk_tasks` in the record would misplace whatever a node reads between the
/// two.
std::string donePart(const std::string& id, std::size_t first, std::size_t end);
std::string machine(const std::string& id);
}  // namespace keys

enum class TerminalState { none, done, cancelled };

struct JobRecord {
    protocol::JobSpec spec;
    TerminalState terminalState = TerminalState::none;
    std::uint64_t acceptedMs = 0;  // time of day
    std::uint32_t done = 0;        // tasks done, of a job that is over
    std::uint32_t chunkTasks = 1;  // tasks per bitmap chunk, fixed when the job is accepted
    std::uint64_t endedMs = 0;     // time of day at which it was done; 0 in records of versions before
    bool operator==(const JobRecord&) const = default;
};

struct LeaderRecord {
    std::string node;
    std::uint64_t fencingToken = 0;
};

struct MachineRecord {
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    bool operator==(const MachineRecord&) const = default;
};

// Each encode function returns a packed value; each decode function throws protocol::Malformed.
std::string encodeJob(const JobRecord& record);
JobRecord decodeJob(const msgpack::object& value);
/// A record of a job that is over. If it would take more than `maxBytes` as JSON, it goes without what is of
/// no use any more: a job accepted under a higher limit must come to its end under a lower one.
std::string encodeTerminatedJob(JobRecord record, std::size_t maxBytes);
/// The record of an accepted job, at its longest, is within `maxBytes`.
bool jobFits(const protocol::JobSpec& spec, std::size_t maxBytes);
std::string encodeLeader(const LeaderRecord& record);
LeaderRecord decodeLeader(const msgpack::object& value);
std::string encodeToken(std::uint64_t fencingToken);
std::uint64_t decodeToken(const msgpack::object& value);
std::string encodeMachine(const MachineRecord& record);
MachineRecord decodeMachine(const msgpack::object& value);

/// How many tasks of a bitmap fit into one value.
std::uint32_t chunkTasks(double maxValueKb);
/// Bits [first, first + count) as text, four to a hexadecimal digit.
std::string encodeBits(const std::vector<bool>& bits, std::size_t first, std::size_t count);
/// Sets the bits that `value` has, from `first` on and within `count`.
void decodeBits(const msgpack::object& value, std::vector<bool>& bits, std::size_t first, std::size_t count);

}  // namespace burlpoint::storage
