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

    /// Tolerance for each resource, as sums of decimal fractions have rounding errors.
    static constexpr double kTolerance = 1e-6;

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

    /// True if `need` fits into this amount, within kTolerance.
    bool covers(const Resources& need) const {
        return need.cpus <= cpus + kTolerance && need.gpus <= gpus + kTolerance &&
               need.memoryGb <= memoryGb + kTolerance;
    }
    /// How many times `need` fits into this amount, at most protocol::kMaxTasks.
    std::uint32_t fitCount(const Resources& need) const;
};

/// The resources that one task of the job needs.
inline Resources needOf(const protocol::JobSpec& spec) { return {spec.cpus, spec.gpus, spec.memoryGb}; }
/// The resources that `tasks` tasks of the job need.
inline Resources needOf(const protocol::JobSpec& spec, std::uint32_t tasks) {
    return {spec.cpus * tasks, spec.gpus * tasks, spec.memoryGb * tasks};
}
/// The resources of an empty machine of the type.
inline Resources capacityOf(const protocol::MachineType& type) {
    return {type.cpus, type.gpus, type.memoryGb};
}

}  // namespace burlpoint::bookkeeping
