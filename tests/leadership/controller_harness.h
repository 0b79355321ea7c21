#pragma once

// A test fixture with the parts of a controller that tests of the user API and of the leader election need:
// user API, state watcher and election, connected to a stub of the key-value store.

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "coordination/api/user_api.h"
#include "coordination/leadership/election.h"
#include "protocol/msgpack_codec.h"
#include "storage/store_stub.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;

inline protocol::Settings controllerSettings(const std::string& name) {
    protocol::Settings s;
    s.name = name;
    s.teams = {{"team", 8, 16, 0, 1}};
    s.zones = {"z"};
    return s;
}

/// A controller's user API and election, connected to a stub of the key-value store.
struct ControllerHarness {
    ControllerHarness(asio::io_context& context, const StoreStub& stub, const std::string& name = "one",
                      Seconds leaderLease = Seconds(0))
        : io(context),
          config(controllerSettings(name)),
          policy{leaderLease},
          store(http, stub.address(), 1000, 1, Clock::now()),
          watcher(io, store, replica, [](const auto&) {}),
          userApi(io, config, store, replica, watcher),
          election(
              config, policy, store, replica, watcher, [this](std::uint64_t t) { fencingToken = t; },
              [this] { fencingToken = 0; }) {
        watcher.start();
    }
    /// Runs the event loop until the condition is true.
    void runUntil(const std::function<bool()>& condition) {
        while (!condition()) io.run_one();
    }
    /// The user API's response to a request. Its status is 599 if the user API does not serve this path.
    transport::Response callApi(const char* method, const std::string& path, std::string body = {}) {
        std::optional<transport::Response> out;
        transport::Request request;
        request.method = method;
        request.path = path;
        request.body = std::move(body);
        if (!userApi.handle(request, [&](transport::Response r) { out = std::move(r); }))
            return {599, "", 0s, ""};
        runUntil([&] { return out.has_value(); });
        return *out;
    }
    /// The job's state as the user API reports it, or the HTTP status of the response if that is not 200.
    std::string jobState(const std::string& id) {
        const auto r = callApi("GET", "/submissions/" + id);
        if (r.status != 200) return std::to_string(r.status);
        return protocol::MapReader(protocol::unpackBody(r.body).get()).text("bearing");
    }

    asio::io_context& io;
    protocol::Settings config;
    protocol::Policy policy;
    transport::HttpClient http{io, 50};
    storage::KeyValueClient store;
    bookkeeping::StateReplica replica;
    coordination::StateWatcher watcher;
    coordination::UserApi userApi;
    coordination::Election election;
    std::uint64_t fencingToken = 0;
};

/// The body of a submission.
inline std::string submission(const std::string& id, double cpus = 1, const std::string& team = "team",
                              std::uint32_t tasks = 2, protocol::JobKind kind = protocol::JobKind::array,
                              std::vector<std::string> dependencies = {}) {
    protocol::JobSpec spec;
    spec.id = id;
    spec.jobClass = spec.image = "x";
    spec.team = team;
    spec.cpus = cpus;
    spec.tasks = tasks;
    spec.kind = kind;
    spec.dependencies = std::move(dependencies);
    protocol::MessagePacker p;
    protocol::packSpec(p, spec);
    return p.str();
}

/// The body of a submission of a job with dependencies.
inline std::string submissionAfter(const std::string& id, std::vector<std::string> dependencies) {
    return submission(id, 1, "team", 2, protocol::JobKind::array, std::move(dependencies));
}

/// An event loop and a stub of the key-value store that contains one machine type.
struct ControllerHarnessTest : testing::Test {
    asio::io_context io{1};
    StoreStub stub{io};

    void SetUp() override {
        std::vector<std::string> failed;
        protocol::MachineType type;
        type.name = "m";
        type.cpus = 8;
        type.gpus = 1;
        stub.store.transact({}, {{storage::keys::kTypes, protocol::encodeMachineTypes({type}), 0}}, failed);
    }
};

}  // namespace burlpoint::tests
