#pragma once

// Amounts of processors, accelerators and memory: what tasks need and what machines have. Plain values.

#include <cstdint>

#include "protocol/cloud_messages.h"
#include "protocol/job_messages.h"

namespace burlpoint::bookkeeping {

/// An amount of processors, accelerators and memory.
struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memoryGb = 0;

    /// Of each resource, for the rounding in sums of decimal fractions.
    static constexpr double kSlack = 1e-6;

    Resources& operator+=(const Resources& other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memoryGb += other.memoryGb;
        return *this;
    }
    Resources& operator-=(const Resources& other) {
        cpus -= other.cpus;
        gpus -= other.gpus;
        memoryGb -= other.memoryGb;
        return *this;
    }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }

    /// Is `need` available, within kSlack?
    bool covers(const Resources& need) const {
        return need.cpus <= cpus + kSlack && need.gpus <= gpus + kSlack && need.memoryGb <= memoryGb + kSlack;
    }
    /// How often `need` is available, at most protocol::kMaxTasks.
    std::uint32_t times(const Resources& need) const;
};

/// What one task of the job needs.
inline Resources needOf(const protocol::JobSpec& spec) { return {spec.cpus, spec.gpus, spec.memoryGb}; }
/// What `tasks` tasks of the job need.
inline Resources needOf(const protocol::JobSpec& spec, std::uint32_t tasks) {
    return {spec.cpus * tasks, spec.gpus * tasks, spec.memoryGb * tasks};
}
/// What an empty machine of the type has.
inline Resources sizeOf(const protocol::MachineType& type) { return {type.cpus, type.gpus, type.memoryGb}; }

}  // namespace burlpoint::bookkeeping
