#include "storage/key_value_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::storage {

using protocol::KeyCondition;
using protocol::KeyPage;
using protocol::KeyWrite;
using protocol::MalformedMessage;
using transport::HttpResult;

namespace {
constexpr Duration kLeaseTimeout{1500};
constexpr Duration kPageTimeout{4000};
constexpr unsigned kPageEntries = 500;
constexpr char kNoSuchLease[] = "no such lease";
}  // namespace

KeyValueClient::KeyValueClient(transport::HttpClient& http, std::string address, double rps, double share,
                               Time now)
    : http_(http), address_(std::move(address)), requests_(rps * share, now), lastAnswer_(now) {}

void KeyValueClient::answered(int status) {
    if (status == 200 || status == 404 || status == 409) lastAnswer_ = Clock::now();
}

/// Why a transaction was not carried out, with a word about the first of each kind of limit met.
TransactionStatus KeyValueClient::refusal(const HttpResult& outcome, std::size_t writes, std::size_t bytes) {
    if (outcome.status == 429) {
        if (!std::exchange(loggedTooMany_, true))
            spdlog::info("the state service refuses changes as too many; writing slows down");
        return TransactionStatus::tooMany;
    }
    if (outcome.status != 400) return TransactionStatus::refused;
    std::string why;
    try {
        const auto handle = protocol::unpackBody(outcome.body);
        why = protocol::MapReader(handle.get()).maybeText("error").value_or("");
    } catch (const MalformedMessage&) {
        // No reason given. A lease that has ended is always named.
    }
    if (why == kNoSuchLease) return TransactionStatus::noLease;
    if (!std::exchange(loggedTooLarge_, true))
        spdlog::error("the state service does not take {} changes of {} bytes: {}", writes, bytes,
                      why.empty() ? "400" : why);
    return TransactionStatus::tooLarge;
}

void KeyValueClient::transact(const std::vector<KeyCondition>& conditions,
                              const std::vector<KeyWrite>& writes, Duration timeout,
                              TransactionCallback done) {
    requests_.force(1, Clock::now());
    const auto body = protocol::encodeTransaction(conditions, writes);
    const auto bytes = body.size();
    http_.request(address_, "POST", protocol::paths::kTransaction, body, timeout,
                  [this, count = writes.size(), bytes, done = std::move(done)](const HttpResult& outcome) {
                      answered(outcome.status);
                      TransactionResult result;
                      try {
                          if (outcome.status == 200 || outcome.status == 409) {
                              auto reply = protocol::decodeTransactionReply(outcome.body);
                              result.status = outcome.status == 200 ? TransactionStatus::applied
                                                                    : TransactionStatus::conflict;
                              result.revision = reply.revision;
                              result.failed = std::move(reply.failed);
                          } else if (outcome.status != 0) {
                              result.status = refusal(outcome, count, bytes);
                          }
                      } catch (const MalformedMessage&) {
                          result = {};
                      }
                      done(std::move(result));
                  });
}

void KeyValueClient::read(const std::string& target, Duration timeout, bool isWatch, PageCallback done) {
    requests_.force(1, Clock::now());
    http_.request(address_, "GET", target, "", timeout,
                  [this, isWatch, done = std::move(done)](const HttpResult& outcome) {
                      answered(outcome.status);
                      // Asked again from the same revision, as much or more would come: the keys are read
                      // anew, a page at a time.
                      if (outcome.status == 410 || (isWatch && outcome.tooLarge))
                          return done(ReadStatus::tooOld, {});
                      if (outcome.status != 200) return done(ReadStatus::failed, {});
                      msgpack::object_handle handle;  // the page points into it
                      KeyPage page;
                      auto status = ReadStatus::ok;
                      try {
                          handle = protocol::unpackBody(outcome.body);
                          page = isWatch ? protocol::decodeWatch(handle.get())
                                         : protocol::decodeKeyPage(handle.get());
                      } catch (const MalformedMessage&) {
                          status = ReadStatus::failed;
                          page = {};
                      }
                      done(status, page);
                  });
}

void KeyValueClient::page(const std::string& prefix, const std::string& after, PageCallback done) {
    read(protocol::paths::keyPage(prefix, after, kPageEntries), kPageTimeout, false, std::move(done));
}

void KeyValueClient::watch(const std::string& prefix, std::uint64_t after, Duration wait, Duration timeout,
                           PageCallback done) {
    read(protocol::paths::watch(prefix, after, wait), timeout, true, std::move(done));
}

void KeyValueClient::makeLease(Duration life, LeaseCallback done) {
    requests_.force(1, Clock::now());
    http_.request(address_, "POST", protocol::paths::kLeases, protocol::encodeLease(life), kLeaseTimeout,
                  [this, done = std::move(done)](HttpResult outcome) {
                      answered(outcome.status);
                      std::uint64_t lease = 0;
                      try {
                          if (outcome.ok()) lease = protocol::decodeLease(outcome.body);
                      } catch (const MalformedMessage&) {
                          outcome.status = 0;
                      }
                      done(outcome.status, lease);
                  });
}

void KeyValueClient::extendLease(std::uint64_t lease, LeaseCallback done) {
    requests_.force(1, Clock::now());
    http_.request(address_, "POST", protocol::paths::extendLease(lease), "", kLeaseTimeout,
                  [this, lease, done = std::move(done)](const HttpResult& outcome) {
                      answered(outcome.status);
                      done(outcome.status, lease);
                  });
}

void KeyValueClient::endLease(std::uint64_t lease) {
    requests_.force(1, Clock::now());
    http_.request(address_, "DELETE", protocol::paths::lease(lease), "", kLeaseTimeout,
                  [](const HttpResult&) {});
}

}  // namespace burlpoint::storage
