#pragma once

// The queue of incoming requests and of events for the leader. Events are handled in order of arrival, in
// batches: each batch is one handler of the event loop, so that timers and sockets are served between
// batches. Owns the queued events. Used on the event loop's thread only.

#include <deque>
#include <functional>
#include <variant>

#include "coordination/controller/leader_events.h"
#include "transport/executor.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// The listening socket on which a request arrived.
enum class Listener {
    clients,  // used by users, workers and the load balancer
    peers     // used by other controllers
};

struct IncomingRequest {
    transport::Request request;
    transport::Reply reply;
    Listener listener = Listener::clients;
};

using ControllerEvent = std::variant<IncomingRequest, LeaderEvent>;

class EventQueue {
  public:
    using Handler = std::function<void(ControllerEvent&)>;

    /// `handler` is called from `io` for each event, never from within `push`. `io` and all that `handler`
    /// refers to must outlive the queued events.
    EventQueue(asio::io_context& io, Handler handler);

    /// Adds the event. An event that is added while a batch is being handled is part of the next batch.
    void push(ControllerEvent event);

  private:
    void handleBatch();

    asio::io_context& io_;
    const Handler handler_;
    std::deque<ControllerEvent> events_;
    bool batchPosted_ = false;  // true while a call of `handleBatch` is queued in the event loop
};

}  // namespace burlpoint::coordination
