#include "coordination/controller/event_queue.h"

#include <utility>

namespace burlpoint::coordination {

EventQueue::EventQueue(asio::io_context& io, Handler handler) : io_(io), handler_(std::move(handler)) {}

void EventQueue::push(ControllerEvent event) {
    events_.push_back(std::move(event));
    if (batchPosted_) return;
    batchPosted_ = true;
    asio::post(io_, [this] { handleBatch(); });
}

void EventQueue::handleBatch() {
    auto batch = std::exchange(events_, {});
    batchPosted_ = false;
    for (auto& event : batch) handler_(event);
}

}  // namespace burlpoint::coordination
