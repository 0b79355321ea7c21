#pragma once

// What the players of the cases share: arguments, the record, the stage, waiting.

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "balancer.h"
#include "protocol/msgpack_codec.h"
#include "stage.h"

namespace review {

/// Arguments of a player: the record's path and the command of the deploy file.
struct Play {
    Play(char** argv, const Limits& limits) : record(argv[1]), stage(wordsOf(argv[2]), limits) {}

    static std::vector<std::string> wordsOf(const std::string& text) {
        std::istringstream in(text);
        std::vector<std::string> words;
        for (std::string word; in >> word;) words.push_back(word);
        return words;
    }
    static bool trouble() {
        const char* variable = std::getenv("TROUBLE");
        return !variable || std::string(variable) != "0";
    }
    bool until(double seconds, const std::function<bool()>& condition) {
        const auto end = record.seconds() + seconds;
        while (record.seconds() < end && !condition()) {
            stage.step();
            if (each) each();
        }
        return condition();
    }
    void pause(double seconds) {
        until(seconds, [] { return false; });
    }
    bool submit(const burlpoint::protocol::JobSpec& spec, std::size_t controller, std::uint32_t completionLimit) {
        stage.users.submit(spec, controller);
        stage.oracle.job(spec.id).completionLimit = completionLimit;
        const bool accepted = until(10, [&] { return stage.oracle.job(spec.id).accepted; });
        record.write("job " + spec.id + (accepted ? " is accepted" : " is not accepted"));
        return accepted;
    }
    std::uint32_t running(const std::string& id) const {
        return stage.machines.countTasks(id, burlpoint::protocol::TaskState::running);
    }
    int end(bool broken, const std::string& what) {
        for (const auto& violation : stage.oracle.violations) record.write("also seen: " + violation);
        record.write(broken ? "broken: " + what : "the rule held");
        return broken ? 1 : 0;
    }
    static burlpoint::protocol::JobSpec job(const std::string& id, burlpoint::protocol::JobKind kind,
                                            std::uint32_t tasks, double cpus) {
        burlpoint::protocol::JobSpec spec;
        spec.id = id;
        spec.jobClass = "class";
        spec.team = "team";
        spec.kind = kind;
        spec.tasks = tasks;
        spec.cpus = cpus;
        spec.memoryGb = 2;
        spec.image = "image-1";
        spec.imageGb = 1;
        spec.estimatedRunTime = burlpoint::Seconds(kind == burlpoint::protocol::JobKind::service ? 0 : 30);
        return spec;
    }

    Record record;
    Stage stage;
    std::function<void()> each;  // called at each step
};

}  // namespace review
