#include "coordination/worker_orders.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::PlacementState;
using protocol::ExitReason;
using protocol::Op;
using protocol::Order;
using protocol::Seconds;
using protocol::TaskReport;
using protocol::TaskState;
using storage::Final;

namespace {

/// No job that is known has such a task.
bool isStray(const TaskReport& task, const Job* job) { return !job || task.attempt.task >= job->spec.tasks; }

/// A result is cleared only once its bit is stored: until then the report is the only record.
bool isSettled(const TaskReport& task, const Job& job) {
    return task.why != ExitReason::done || job.final != Final::open || job.isDone(task.attempt.task) ||
           job.spec.kind == protocol::Kind::service;
}

}  // namespace

std::vector<Order> stopOrders(const bookkeeping::Machine& machine) {
    std::vector<Order> orders;
    for (const auto& [key, placement] : machine.placements) {
        if (orders.size() >= kMaxOrders) break;
        if (!placement.stopping || placement.state == PlacementState::planned) continue;
        if (placement.state == PlacementState::saving && placement.grace > Seconds(0))
            continue;  // it is at it
        orders.push_back(
            {Op::stop, {placement.job->spec.id, placement.task, placement.attempt}, placement.grace});
    }
    return orders;
}

std::vector<Order> stopsOfEndedJobs(const protocol::Report& report, bookkeeping::StateReplica& replica) {
    // The answer renews the lease. Without stops, what is cancelled would go on for one lease more with each
    // change of leader. Stopping an attempt of a job that is over is right however old the list is.
    std::vector<Order> orders;
    for (const auto& task : report.tasks) {
        if (orders.size() >= kMaxOrders) break;
        const auto* job = replica.find(task.attempt.job);
        if (job && job->final != Final::open && task.state != TaskState::exited)
            orders.push_back({Op::stop, task.attempt, Seconds(0)});
    }
    return orders;
}

bool addSettlingOrders(const protocol::Report& report, bookkeeping::StateReplica& replica,
                       std::vector<Order>& orders) {
    for (const auto& task : report.tasks) {
        if (orders.size() >= kMaxOrders) return false;
        const auto* job = replica.find(task.attempt.job);
        const bool stray = isStray(task, job);
        if (task.state != TaskState::exited) {
            if (stray) orders.push_back({Op::stop, task.attempt, Seconds(0)});
        } else if (stray || isSettled(task, *job)) {
            orders.push_back({Op::forget, task.attempt, Seconds(0)});
        }
    }
    return true;
}

}  // namespace burlpoint::coordination
