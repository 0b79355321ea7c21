#pragma once

// The names on the wire. The protocol has its own words for things that have standard names; this file maps
// each word to its standard name, and the encode and decode functions of the protocol layer are the only code
// that uses it. All other code, and the names of constants, fields and types, use the standard names.
//
// Names of enumerators on the wire are in tables of the message files (`EnumNames`), next to the only encoder
// and decoder that need them. Paths are in the `paths` namespaces of the message headers.
//
// Units: names on the wire end with S for seconds, Ms for milliseconds, Gb for gigabytes.

#include <string_view>

namespace burlpoint::protocol::wire {

// Names that several kinds of message share.
inline constexpr std::string_view kId = "uid";             // id of a job, or of a machine in the cloud's list
inline constexpr std::string_view kState = "bearing";      // state of a job, a task or a machine
inline constexpr std::string_view kMachine = "bollard";    // a machine's id
inline constexpr std::string_view kMachines = "bollards";  // machine ids, or the machines of the cloud
inline constexpr std::string_view kAddress = "address";
inline constexpr std::string_view kMachineType = "hull";
inline constexpr std::string_view kMachineTypes = "hulls";
inline constexpr std::string_view kZone = "quay";
inline constexpr std::string_view kZones = "quays";
inline constexpr std::string_view kSpot = "driftwood";  // a spot machine; of a job: it may run on one
inline constexpr std::string_view kCpus = "cores";
inline constexpr std::string_view kGpus = "accelerators";
inline constexpr std::string_view kMemoryGb = "ramGb";
inline constexpr std::string_view kTasks = "hands";  // number of tasks of a job; list of tasks in a heartbeat
inline constexpr std::string_view kHasMore = "hasNext";  // another page follows
inline constexpr std::string_view kError = "error";      // why a request was refused

/// A job as its user describes it, and the replies that users get.
namespace job {
inline constexpr std::string_view kClass = "berth";
inline constexpr std::string_view kTeam = "crew";
inline constexpr std::string_view kKind = "rig";
inline constexpr std::string_view kPriority = "tide";
inline constexpr std::string_view kImage = "cargo";
inline constexpr std::string_view kImageGb = "pullGb";
inline constexpr std::string_view kSingleZone = "together";
inline constexpr std::string_view kSpreadZones = "apart";
inline constexpr std::string_view kEstimatedRunTimeS = "voyageS";
inline constexpr std::string_view kCheckpointIntervalS = "logbookS";
inline constexpr std::string_view kSaveTimeS = "stowS";
inline constexpr std::string_view kDeadlineS = "sailingS";
inline constexpr std::string_view kDependencies = "towlines";
inline constexpr std::string_view kTasksDone = "done";
inline constexpr std::string_view kTasksRunning = "running";
}  // namespace job

/// Heartbeats of workers, and commands to them.
namespace worker {
inline constexpr std::string_view kIncarnation = "watch";
inline constexpr std::string_view kSequence = "knot";
inline constexpr std::string_view kFencingToken = "helm";
inline constexpr std::string_view kInterruptionNoticeS = "recallS";
inline constexpr std::string_view kTask = "hand";  // "job id/task number"
inline constexpr std::string_view kAttempt = "launch";
inline constexpr std::string_view kExitReason = "wreck";
inline constexpr std::string_view kCheckpointed = "stored";
inline constexpr std::string_view kCommands = "orders";
inline constexpr std::string_view kCommandKind = "order";
inline constexpr std::string_view kGraceS = "moorS";
inline constexpr std::string_view kLeader = "harbormaster";  // the leader in a redirect
}  // namespace worker

/// The cloud's machine types, instance requests and list of machines.
namespace cloud {
inline constexpr std::string_view kTypeName = "label";
inline constexpr std::string_view kCacheGb = "cacheGb";
inline constexpr std::string_view kFetchGbPerS = "pullGbPerS";
inline constexpr std::string_view kPrice = "rate";
inline constexpr std::string_view kSpotPrice = "marketPrice";
inline constexpr std::string_view kBootS = "readyS";
inline constexpr std::string_view kRequestName = "charter";
inline constexpr std::string_view kCount = "howMany";
inline constexpr std::string_view kAgeS = "heldS";
inline constexpr std::string_view kNoCapacity = "no capacity";  // the error text if the cloud has no capacity
}  // namespace cloud

/// The key-value store.
namespace store {
inline constexpr std::string_view kConditions = "when";
inline constexpr std::string_view kWrites = "apply";
inline constexpr std::string_view kKey = "path";           // a key in conditions and pages
inline constexpr std::string_view kWrittenKey = "write";   // a written key in transactions and watches
inline constexpr std::string_view kDeletedKey = "remove";  // a deleted key in transactions and watches
inline constexpr std::string_view kValue = "data";
inline constexpr std::string_view kVersion = "mark";
inline constexpr std::string_view kLease = "mooring";
inline constexpr std::string_view kLeaseTtlMs = "lifeMs";
inline constexpr std::string_view kRevision = "chart";
inline constexpr std::string_view kFailedKeys = "failed";
inline constexpr std::string_view kEntries = "entries";
inline constexpr std::string_view kChanges = "log";
inline constexpr std::string_view kNoSuchLease = "no such lease";  // the error text for an expired lease
}  // namespace store

/// Status messages between controllers.
namespace peer {
inline constexpr std::string_view kController = "node";
inline constexpr std::string_view kFencingToken = "token";
inline constexpr std::string_view kResignedToken = "given_up";
inline constexpr std::string_view kStateAgeMs = "state_age_ms";
inline constexpr std::string_view kLeaderToken = "hears";
inline constexpr std::string_view kVoteMs = "promise_ms";
inline constexpr std::string_view kRevision = "revision";
inline constexpr std::string_view kLogId = "log";
inline constexpr std::string_view kLogPosition = "log_at";
inline constexpr std::string_view kComplete = "told";
inline constexpr std::string_view kCancelled = "cancelled";
inline constexpr std::string_view kRunning = "running";
inline constexpr std::string_view kJob = "job";
inline constexpr std::string_view kVersion = "version";
inline constexpr std::string_view kCount = "count";
}  // namespace peer

/// Parameters in the query of a request, each followed by its value.
namespace query {
inline constexpr std::string_view kPrefix = "under=";
inline constexpr std::string_view kLimit = "most=";
inline constexpr std::string_view kAfter = "since=";  // a key, a machine's id or a revision
inline constexpr std::string_view kWaitMs = "blockMs=";
}  // namespace query

}  // namespace burlpoint::protocol::wire
