#pragma once

// The queue of what happens to a controller: requests to it and events for its leader. Events are handled in
// the order of their arrival, in batches: each batch takes one turn of the event loop, so that timers and
// sockets have theirs in between. Owns the events that wait. Used on the event loop's thread only.

#include <deque>
#include <functional>
#include <variant>

#include "coordination/controller/leader_events.h"
#include "transport/executor.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// The listening socket that a request came to.
enum class Listener {
    clients,  // for users, workers and the load balancer
    peers     // for other controllers
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

    /// `handler` is called from `io` for each event, never from inside `push`. Both have to outlive the
    /// events.
    EventQueue(asio::io_context& io, Handler handler);

    /// Adds the event. An event that is added while a batch is handled belongs to the next one.
    void push(ControllerEvent event);

  private:
    void handleBatch();

    asio::io_context& io_;
    const Handler handler_;
    std::deque<ControllerEvent> events_;
    bool batchPosted_ = false;  // a call of `handleBatch` waits in the event loop
};

}  // namespace burlpoint::coordination
