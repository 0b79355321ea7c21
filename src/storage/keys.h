#pragma once

// The keys of the cluster's state in the key-value store. They are a stored format: controllers of different
// versions read the same keys. Holds no state.

#include <cstddef>
#include <string>

/// All keys share one prefix, so that one watch covers everything. A job's record sorts before the bitmap
/// chunks of the same job.
namespace burlpoint::storage::keys {

inline constexpr char kRootPrefix[] = "bp/";             ///< the prefix of all keys
inline constexpr char kLeader[] = "bp/leader";           ///< `LeaderRecord`; attached to the leader's lease
inline constexpr char kToken[] = "bp/token";             ///< the highest fencing token used so far
inline constexpr char kTypes[] = "bp/types";             ///< the machine types that the cloud offers
inline constexpr char kJobPrefix[] = "bp/job/";          ///< the prefix of job records and bitmaps
inline constexpr char kMachinePrefix[] = "bp/machine/";  ///< the prefix of machine records

/// The `JobRecord` of a job.
std::string job(const std::string& id);
/// A chunk of the bitmap of a job's finished tasks. All chunks of a job except the last have the same size
/// (`JobRecord::chunkTasks`).
std::string bitmapChunk(const std::string& id, std::size_t chunk);
/// A part of that bitmap, for tasks [first, end), used if a chunk is larger than a value may be under the
/// key-value store's present limits and those that replace them later (`Settings::nextStoreLimits`). The key
/// contains the whole range, so a part never replaces a part of another size that has more bits.
///
/// Older versions of the controller know only chunks. They can't parse this key as a chunk number, and skip
/// it without an error. They see fewer finished tasks than are stored, as if the other tasks had not been
/// written yet. That is safe: a task that such a version restarts exits with "done" as soon as its image has
/// been fetched; the job is recorded as done only after every task was seen as done, and then all of them are
/// done; and chunks are stored under other keys, so no bit is lost.
///
/// The bits can't be stored under a chunk's key instead. Older versions assign the first digit of a value to
/// the first task of its chunk, so a value within the limit could not cover the later tasks of the chunk. A
/// smaller `chunk_tasks` in the job's record would assign bits that are read between the two writes to the
/// wrong tasks.
std::string bitmapPart(const std::string& id, std::size_t first, std::size_t end);
/// The `MachineRecord` of a machine.
std::string machine(const std::string& id);

}  // namespace burlpoint::storage::keys
