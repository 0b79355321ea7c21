#pragma once

// The names of the keys under which controllers store the cluster's state in the key-value store. The names
// are a stored format: controllers of different versions read the same keys. Holds no state.

#include <cstddef>
#include <string>

/// All keys share one prefix, so that one watch covers everything. A job's record sorts before the bitmap
/// chunks of the same job.
namespace burlpoint::storage::keys {

inline constexpr char kAll[] = "bp/";               ///< the prefix of all keys
inline constexpr char kLeader[] = "bp/leader";      ///< `LeaderRecord`; attached to the leader's lease
inline constexpr char kToken[] = "bp/token";        ///< the highest fencing token ever in use
inline constexpr char kTypes[] = "bp/types";        ///< the machine types that the cloud offers
inline constexpr char kJobs[] = "bp/job/";          ///< the prefix of job records and bitmaps
inline constexpr char kMachines[] = "bp/machine/";  ///< the prefix of machine records

/// The `JobRecord` of a job.
std::string job(const std::string& id);
/// A chunk of the bitmap of a job's finished tasks. All chunks of a job have the same size
/// (`JobRecord::chunkTasks`), but for the last.
std::string doneChunk(const std::string& id, std::size_t chunk);
/// A part of that bitmap, for tasks [first, end), where a chunk is too large for the key-value store's next
/// limits. The key names the whole range, so a part never replaces one of another size that has more bits.
///
/// Older versions know only chunks. They don't parse this key as a chunk number, and skip it without an
/// error. For them the job has fewer finished tasks than are stored, as if the others had yet to be written.
/// That is safe: a task that such a version starts again exits with "done" as soon as its image is there; the
/// job is recorded as done only after every task was seen done, which is true by then; and chunks are stored
/// under other keys, so no bit is lost.
///
/// The bits can't be stored under a chunk's key instead. Older versions take the first digit of a value for
/// the first task of its chunk, so a value within the limit could not reach the later tasks of the chunk. A
/// smaller `chunk_tasks` in the job's record would misplace the bits read between the two writes.
std::string donePart(const std::string& id, std::size_t first, std::size_t end);
/// The `MachineRecord` of a machine.
std::string machine(const std::string& id);

}  // namespace burlpoint::storage::keys
