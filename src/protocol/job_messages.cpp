#include "protocol/job_messages.h"

#include <algorithm>

#include "protocol/enum_names.h"
#include "protocol/msgpack_codec.h"

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

}  // namespace

bool isJobId(std::string_view text) {
    constexpr std::string_view kPrefix = "wk-";
    constexpr std::size_t kMaxDigits = 20;
    if (!text.starts_with(kPrefix)) return false;
    const auto digits = text.substr(kPrefix.size());
    return !digits.empty() && digits.size() <= kMaxDigits &&
           std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

JobSpec decodeSpec(const msgpack::object& body) {
    const MapReader f(body);
    constexpr std::size_t kName = 100;  // characters
    constexpr std::size_t kMaxTypes = 16;
    JobSpec s;
    s.id = f.text("uid");
    if (!isJobId(s.id)) throw MalformedMessage("field uid is invalid");
    s.jobClass = f.text("berth", kName);
    s.team = f.text("crew", kName);
    s.kind = parseEnum(kJobKinds, f.text("rig"));
    s.priority = parseEnum(kPriorities, f.text("tide"));
    const auto tasks = f.integer("hands");
    if (tasks < 1 || tasks > kMaxTasks) throw MalformedMessage("field hands is invalid");
    s.tasks = static_cast<std::uint32_t>(tasks);
    s.cpus = f.amount("cores");
    s.gpus = f.amount("accelerators");
    s.memoryGb = f.amount("ramGb");
    s.image = f.text("cargo", kName);
    s.imageGb = f.amount("pullGb");
    if (f.find("hulls")) {
        s.types = f.texts("hulls");
        if (s.types->size() > kMaxTypes) throw MalformedMessage("field hulls is invalid");
    }
    s.zone = f.maybeText("quay", kName);
    s.singleZone = f.flag("together");
    s.spreadZones = f.flag("apart");
    s.spot = f.flag("driftwood");
    s.estimatedRunTime = Seconds(f.amount("voyageS"));
    s.checkpointInterval = Seconds(f.amount("logbookS"));
    s.saveTime = Seconds(f.amount("stowS"));
    if (const auto deadline = f.maybeAmount("sailingS")) s.deadline = Seconds(*deadline);
    for (auto& id : f.texts("towlines")) {
        if (!isJobId(id)) throw MalformedMessage("field towlines is invalid");
        const auto known = std::find(s.dependencies.begin(), s.dependencies.end(), id);
        if (known == s.dependencies.end()) s.dependencies.push_back(std::move(id));
    }
    return s;
}

void packSpec(MessagePacker& p, const JobSpec& s, std::size_t extraFields) {
    p.map(20 + extraFields + !s.dependencies.empty());
    p.field("uid", s.id).field("berth", s.jobClass).field("crew", s.team);
    p.field("rig", enumName(kJobKinds, s.kind)).field("tide", enumName(kPriorities, s.priority));
    p.field("hands", s.tasks).field("cores", s.cpus).field("accelerators", s.gpus).field("ramGb", s.memoryGb);
    p.field("cargo", s.image).field("pullGb", s.imageGb);
    p.maybe("hulls", s.types).maybe("quay", s.zone);
    p.field("together", s.singleZone).field("apart", s.spreadZones).field("driftwood", s.spot);
    p.field("voyageS", s.estimatedRunTime.count()).field("logbookS", s.checkpointInterval.count());
    p.field("stowS", s.saveTime.count());
    s.deadline ? p.field("sailingS", s.deadline->count()) : p.nil("sailingS");
    if (!s.dependencies.empty()) p.field("towlines", s.dependencies);
}

std::string jobReply(const std::string& id, JobState state) {
    return MessagePacker().map(2).field("uid", id).field("bearing", enumName(kJobStates, state)).take();
}

std::string jobReply(const std::string& id, JobState state, std::uint32_t done, std::uint32_t running) {
    MessagePacker p;
    p.map(4).field("uid", id).field("bearing", enumName(kJobStates, state));
    return p.field("done", done).field("running", running).take();
}

std::string errorReply(std::string_view why) { return MessagePacker().map(1).field("error", why).take(); }

}  // namespace burlpoint::protocol
