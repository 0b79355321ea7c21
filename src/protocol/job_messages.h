#pragma once

// Jobs as users describe and ask about them.

#include <cstddef>
#include <cstdint>
#include <msgpack/object_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::protocol {

class MessagePacker;

/// How the tasks of a job belong together: independent of each other, at once or not at all, or for good.
enum class JobKind { array, gang, service };
enum class Priority { low, normal, high, production };
enum class JobState { queued, running, done, cancelled };

/// Tasks that a job may have.
constexpr std::uint32_t kMaxTasks = 100'000;

/// A job as its user describes it.
struct JobSpec {
    std::string id;
    std::string jobClass;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    double cpus = 0;  // of each task, like what follows
    double gpus = 0;
    double memoryGb = 0;
    std::string image;
    double imageGb = 0;
    std::optional<std::vector<std::string>> types;  // machine types that it may use; none: all
    std::optional<std::string> zone;                // the only one that it may use
    bool singleZone = false;                        // all tasks in the same zone
    bool spreadZones = false;                       // at most half of the tasks, rounded up, in a zone
    bool spot = false;                              // spot machines may be used
    Seconds estimatedRunTime{0};                    // of a task's run
    Seconds checkpointInterval{0};                  // between saves; 0: it does not save
    Seconds saveTime{0};                            // that a save takes
    std::optional<Seconds> deadline;                // from the submission
    std::vector<std::string> dependencies;  // jobs that have to be done before any task of this one starts
    bool operator==(const JobSpec&) const = default;
};

/// Has the text the form of a job's id?
bool isJobId(std::string_view text);

/// Throws Malformed.
JobSpec decodeSpec(const msgpack::object& body);
/// Opens a map with the spec's fields and room for so many more, which have to follow.
void packSpec(MessagePacker& packer, const JobSpec& spec, std::size_t extraFields = 0);
std::string jobReply(const std::string& id, JobState state);
/// `done` and `running`: tasks.
std::string jobReply(const std::string& id, JobState state, std::uint32_t done, std::uint32_t running);
std::string errorReply(std::string_view why);

namespace paths {
inline constexpr char kSubmissions[] = "/submissions";
inline constexpr char kCancel[] = "/cancel";
inline constexpr char kReady[] = "/ready";
}  // namespace paths

}  // namespace burlpoint::protocol
