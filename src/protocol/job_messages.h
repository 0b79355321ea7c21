#pragma once

// The messages exchanged with users: jobs as they submit them, and the replies to submissions, cancellations
// and queries of a job's state. Holds no state.

#include <cstddef>
#include <cstdint>
#include <msgpack/object_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace burlpoint::protocol {

class MessagePacker;

enum class JobKind {
    array,   ///< a job array: independent tasks, each of which runs until it is done
    gang,    ///< all tasks run at the same time, or none
    service  ///< tasks that run until the job is cancelled
};
enum class Priority { low, normal, high, production };
enum class JobState { queued, running, done, cancelled };

/// The most tasks that a job may have.
constexpr std::uint32_t kMaxTasks = 100'000;

/// A job as its user describes it.
struct JobSpec {
    std::string id;
    std::string jobClass;  ///< the class of jobs to which service-level objectives refer
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;  ///< from 1 to `kMaxTasks`
    double cpus = 0;          ///< CPU cores per task
    double gpus = 0;          ///< GPUs per task
    double memoryGb = 0;      ///< memory per task
    std::string image;        ///< the image that each task needs on its machine
    double imageGb = 0;
    std::optional<std::vector<std::string>> types;  ///< allowed machine types; absent: all
    std::optional<std::string> zone;                ///< the only allowed zone; absent: all
    bool singleZone = false;                        ///< all its tasks run in the same zone
    bool spreadZones = false;               ///< at most half of its tasks, rounded up, run in the same zone
    bool spot = false;                      ///< its tasks may run on spot machines
    Seconds estimatedRunTime{0};            ///< run time of each task, as estimated by the user
    Seconds checkpointInterval{0};          ///< time between two checkpoints; 0: no checkpoints
    Seconds saveTime{0};                    ///< the time that a checkpoint takes
    std::optional<Seconds> deadline;        ///< time from the submission to the deadline
    std::vector<std::string> dependencies;  ///< jobs that must be done before any of its tasks starts
    bool operator==(const JobSpec&) const = default;
};

/// Whether the text has the form of a job id.
bool isJobId(std::string_view text);

/// Throws `MalformedMessage` for a spec that lacks a field or has one that is out of range.
JobSpec decodeSpec(const msgpack::object& body);
/// Packs the spec as a map. Its size counts `extraFields` more fields, which the caller has to add.
void packSpec(MessagePacker& packer, const JobSpec& spec, std::size_t extraFields = 0);

std::string encodeJobReply(const std::string& id, JobState state);
/// `done`, `running`: numbers of tasks.
std::string encodeJobReply(const std::string& id, JobState state, std::uint32_t done, std::uint32_t running);

/// The body of an error response.
std::string encodeErrorReply(std::string_view reason);
/// The reason in the body of an error response; empty if the body has none or is malformed.
std::string decodeErrorReply(std::string_view body);

namespace paths {
inline constexpr char kSubmissions[] = "/submissions";  ///< submissions; the path of each job is below it
inline constexpr char kCancel[] = "/cancel";            ///< cancellation; follows the path of a job
inline constexpr char kReady[] = "/ready";
}  // namespace paths

}  // namespace burlpoint::protocol
