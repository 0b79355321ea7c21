#include "protocol/job_messages.h"

#include <algorithm>

#include "protocol/enum_names.h"
#include "protocol/errors.h"
#include "protocol/map_reader.h"
#include "protocol/message_packer.h"
#include "protocol/wire_names.h"

namespace burlpoint::protocol {

namespace {

constexpr EnumNames<JobKind, 3> kJobKinds{
    {{"sweep", JobKind::array}, {"gang", JobKind::gang}, {"standing", JobKind::service}}};
constexpr EnumNames<Priority, 4> kPriorities{{{"prod", Priority::production},
                                              {"urgent", Priority::high},
                                              {"normal", Priority::normal},
                                              {"low", Priority::low}}};
constexpr EnumNames<JobState, 4> kJobStates{{{"pending", JobState::queued},
                                             {"running", JobState::running},
                                             {"done", JobState::done},
                                             {"cancelled", JobState::cancelled}}};

constexpr std::string_view kJobIdPrefix = "wk-";
constexpr std::size_t kMaxJobIdDigits = 20;
constexpr std::size_t kMaxNameBytes = 100;  // length of names that users choose
constexpr std::size_t kMaxMachineTypes = 16;
constexpr std::size_t kSpecFields = 20;  // not counting the dependencies

std::uint32_t decodeTaskCount(const MapReader& fields) {
    const auto tasks = fields.integer(wire::kTasks);
    if (tasks < 1 || tasks > kMaxTasks) MapReader::throwInvalid(wire::kTasks);
    return static_cast<std::uint32_t>(tasks);
}

std::optional<std::vector<std::string>> decodeAllowedTypes(const MapReader& fields) {
    if (!fields.find(wire::kMachineTypes)) return std::nullopt;
    auto types = fields.texts(wire::kMachineTypes);
    if (types.size() > kMaxMachineTypes) MapReader::throwInvalid(wire::kMachineTypes);
    return types;
}

/// The ids in the given order, without duplicates.
std::vector<std::string> decodeDependencies(const MapReader& fields) {
    std::vector<std::string> dependencies;
    for (auto& id : fields.texts(wire::job::kDependencies)) {
        if (!isJobId(id)) MapReader::throwInvalid(wire::job::kDependencies);
        const auto seen = std::find(dependencies.begin(), dependencies.end(), id);
        if (seen == dependencies.end()) dependencies.push_back(std::move(id));
    }
    return dependencies;
}

}  // namespace

bool isJobId(std::string_view text) {
    if (!text.starts_with(kJobIdPrefix)) return false;
    const auto digits = text.substr(kJobIdPrefix.size());
    return !digits.empty() && digits.size() <= kMaxJobIdDigits &&
           std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

JobSpec decodeSpec(const msgpack::object& body) {
    const MapReader fields(body);
    JobSpec spec;
    spec.id = fields.text(wire::kId);
    if (!isJobId(spec.id)) MapReader::throwInvalid(wire::kId);
    spec.jobClass = fields.text(wire::job::kClass, kMaxNameBytes);
    spec.team = fields.text(wire::job::kTeam, kMaxNameBytes);
    spec.kind = parseEnum(kJobKinds, fields.text(wire::job::kKind));
    spec.priority = parseEnum(kPriorities, fields.text(wire::job::kPriority));
    spec.tasks = decodeTaskCount(fields);
    spec.cpus = fields.amount(wire::kCpus);
    spec.gpus = fields.amount(wire::kGpus);
    spec.memoryGb = fields.amount(wire::kMemoryGb);
    spec.image = fields.text(wire::job::kImage, kMaxNameBytes);
    spec.imageGb = fields.amount(wire::job::kImageGb);
    spec.types = decodeAllowedTypes(fields);
    spec.zone = fields.maybeText(wire::kZone, kMaxNameBytes);
    spec.singleZone = fields.flag(wire::job::kSingleZone);
    spec.spreadZones = fields.flag(wire::job::kSpreadZones);
    spec.spot = fields.flag(wire::kSpot);
    spec.estimatedRunTime = Seconds(fields.amount(wire::job::kEstimatedRunTimeS));
    spec.checkpointInterval = Seconds(fields.amount(wire::job::kCheckpointIntervalS));
    spec.saveTime = Seconds(fields.amount(wire::job::kSaveTimeS));
    if (const auto deadline = fields.maybeAmount(wire::job::kDeadlineS)) spec.deadline = Seconds(*deadline);
    spec.dependencies = decodeDependencies(fields);
    return spec;
}

void packSpec(MessagePacker& packer, const JobSpec& spec, std::size_t extraFields) {
    const bool hasDependencies = !spec.dependencies.empty();
    packer.map(kSpecFields + extraFields + (hasDependencies ? 1 : 0));
    packer.field(wire::kId, spec.id);
    packer.field(wire::job::kClass, spec.jobClass);
    packer.field(wire::job::kTeam, spec.team);
    packer.field(wire::job::kKind, enumName(kJobKinds, spec.kind));
    packer.field(wire::job::kPriority, enumName(kPriorities, spec.priority));
    packer.field(wire::kTasks, spec.tasks);
    packer.field(wire::kCpus, spec.cpus);
    packer.field(wire::kGpus, spec.gpus);
    packer.field(wire::kMemoryGb, spec.memoryGb);
    packer.field(wire::job::kImage, spec.image);
    packer.field(wire::job::kImageGb, spec.imageGb);
    packer.maybe(wire::kMachineTypes, spec.types);
    packer.maybe(wire::kZone, spec.zone);
    packer.field(wire::job::kSingleZone, spec.singleZone);
    packer.field(wire::job::kSpreadZones, spec.spreadZones);
    packer.field(wire::kSpot, spec.spot);
    packer.field(wire::job::kEstimatedRunTimeS, spec.estimatedRunTime.count());
    packer.field(wire::job::kCheckpointIntervalS, spec.checkpointInterval.count());
    packer.field(wire::job::kSaveTimeS, spec.saveTime.count());
    if (spec.deadline)
        packer.field(wire::job::kDeadlineS, spec.deadline->count());
    else
        packer.nil(wire::job::kDeadlineS);
    // Omitted if there are none, as in the records of versions without dependencies.
    if (hasDependencies) packer.field(wire::job::kDependencies, spec.dependencies);
}

std::string encodeJobReply(const std::string& id, JobState state) {
    MessagePacker packer;
    packer.map(2).field(wire::kId, id).field(wire::kState, enumName(kJobStates, state));
    return packer.str();
}

std::string encodeJobReply(const std::string& id, JobState state, std::uint32_t done, std::uint32_t running) {
    MessagePacker packer;
    packer.map(4).field(wire::kId, id).field(wire::kState, enumName(kJobStates, state));
    packer.field(wire::job::kTasksDone, done).field(wire::job::kTasksRunning, running);
    return packer.str();
}

std::string encodeErrorReply(std::string_view reason) {
    return MessagePacker().map(1).field(wire::kError, reason).str();
}

std::string decodeErrorReply(std::string_view body) {
    try {
        const auto handle = unpackBody(body);
        return MapReader(handle.get()).maybeText(wire::kError).value_or("");
    } catch (const MalformedMessage&) {
        return "";
    }
}

}  // namespace burlpoint::protocol
