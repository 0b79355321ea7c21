#include "storage/key_value_client.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "protocol/errors.h"
#include "protocol/job_messages.h"
#include "protocol/msgpack_codec.h"
#include "transport/http_status.h"

namespace burlpoint::storage {

namespace http_status = transport::http_status;
namespace paths = protocol::paths;
using protocol::KeyCondition;
using protocol::KeyPage;
using protocol::KeyWrite;
using protocol::MalformedMessage;
using transport::HttpResult;

namespace {

/// Short, so that an unanswered extension leaves time for another one before the lease expires.
constexpr Duration kLeaseTimeout{1500};
constexpr Duration kPageTimeout{4000};
/// With values of 8 KiB, a page takes half of what the HTTP client accepts as a response.
constexpr unsigned kPageEntries = 500;

/// Whether the store was serving when it gave this response; any other status may come from an outage.
bool isServed(const HttpResult& response) {
    return response.status == http_status::kOk || response.status == http_status::kNotFound ||
           response.status == http_status::kConflict;
}

}  // namespace

KeyValueClient::KeyValueClient(transport::HttpClient& http, std::string address, double requestsPerSecond,
                               double shareOfLimit, Time now)
    : http_(http),
      address_(std::move(address)),
      requests_(requestsPerSecond * shareOfLimit, now),
      lastAnswer_(now) {}

void KeyValueClient::send(const char* method, const std::string& target, const std::string& body,
                          Duration timeout, transport::ResultCallback done) {
    requests_.takeUnconditionally(1, Clock::now());
    http_.request(address_, method, target, body, timeout,
                  [this, done = std::move(done)](HttpResult response) {
                      if (isServed(response)) lastAnswer_ = Clock::now();
                      done(std::move(response));
                  });
}

void KeyValueClient::transact(const std::vector<KeyCondition>& conditions,
                              const std::vector<KeyWrite>& writes, Duration timeout,
                              TransactionCallback done) {
    const auto body = protocol::encodeTransaction(conditions, writes);
    send("POST", paths::kTransaction, body, timeout,
         [this, count = writes.size(), bytes = body.size(),
          done = std::move(done)](const HttpResult& response) { done(resultOf(response, count, bytes)); });
}

TransactionResult KeyValueClient::resultOf(const HttpResult& response, std::size_t writes,
                                           std::size_t bytes) {
    TransactionResult result;
    if (!response.answered()) return result;
    if (response.status != http_status::kOk && response.status != http_status::kConflict) {
        result.status = statusOfRefusal(response, writes, bytes);
        return result;
    }
    try {
        auto reply = protocol::decodeTransactionReply(response.body);
        result.revision = reply.revision;
        result.failed = std::move(reply.failed);
        result.status = response.ok() ? TransactionStatus::applied : TransactionStatus::conflict;
    } catch (const MalformedMessage&) {
        // Without its revision, a success is of no use. The result stays unknown.
    }
    return result;
}

/// Logs the first refusal of each kind; later ones have the same cause.
TransactionStatus KeyValueClient::statusOfRefusal(const HttpResult& response, std::size_t writes,
                                                  std::size_t bytes) {
    if (response.status == http_status::kTooManyRequests) {
        if (!std::exchange(loggedTooMany_, true))
            spdlog::info("key-value store refuses writes over its rate limit, writing slows down writes={}",
                         writes);
        return TransactionStatus::tooMany;
    }
    if (response.status != http_status::kBadRequest) return TransactionStatus::refused;
    // An expired lease is always named as the reason, so any other 400, also one without a reason, is about
    // the size.
    const auto reason = protocol::decodeErrorReply(response.body);
    if (protocol::isNoSuchLease(reason)) return TransactionStatus::noLease;
    if (!std::exchange(loggedTooLarge_, true))
        spdlog::error("key-value store refuses a transaction for its size writes={} bytes={} reason={}",
                      writes, bytes, reason);
    return TransactionStatus::tooLarge;
}

void KeyValueClient::read(ReadKind kind, const std::string& target, Duration timeout, PageCallback done) {
    const bool isWatch = kind == ReadKind::watch;
    send("GET", target, "", timeout, [isWatch, done = std::move(done)](const HttpResult& response) {
        // The changes since the same revision would only get more, so a watch whose response was too large
        // fails again for ever. All keys are read anew instead, a page at a time.
        if (response.status == http_status::kGone || (isWatch && response.tooLarge))
            return done(ReadStatus::tooOld, {});
        if (!response.ok()) return done(ReadStatus::failed, {});
        msgpack::object_handle handle;  // the page's values point into it
        KeyPage page;
        auto status = ReadStatus::ok;
        try {
            handle = protocol::unpackBody(response.body);
            page = isWatch ? protocol::decodeWatch(handle.get()) : protocol::decodeKeyPage(handle.get());
        } catch (const MalformedMessage&) {
            status = ReadStatus::failed;
            page = {};
        }
        done(status, page);
    });
}

void KeyValueClient::page(const std::string& prefix, const std::string& after, PageCallback done) {
    read(ReadKind::page, paths::keyPage(prefix, after, kPageEntries), kPageTimeout, std::move(done));
}

void KeyValueClient::watch(const std::string& prefix, std::uint64_t after, Duration wait, Duration timeout,
                           PageCallback done) {
    read(ReadKind::watch, paths::watch(prefix, after, wait), timeout, std::move(done));
}

void KeyValueClient::makeLease(Duration life, LeaseCallback done) {
    send("POST", paths::kLeases, protocol::encodeLease(life), kLeaseTimeout,
         [done = std::move(done)](const HttpResult& response) {
             std::optional<std::uint64_t> lease;
             try {
                 if (response.ok()) lease = protocol::decodeLease(response.body);
             } catch (const MalformedMessage&) {
                 // A lease whose id can't be read expires unused.
             }
             lease ? done(LeaseStatus::active, *lease) : done(LeaseStatus::unknown, 0);
         });
}

void KeyValueClient::extendLease(std::uint64_t lease, LeaseCallback done) {
    send("POST", paths::extendLease(lease), "", kLeaseTimeout,
         [lease, done = std::move(done)](const HttpResult& response) {
             if (response.ok()) return done(LeaseStatus::active, lease);
             const bool isExpired = response.status == http_status::kNotFound;
             done(isExpired ? LeaseStatus::expired : LeaseStatus::unknown, lease);
         });
}

void KeyValueClient::endLease(std::uint64_t lease) {
    requests_.takeUnconditionally(1, Clock::now());
    http_.request(address_, "DELETE", paths::lease(lease), "", kLeaseTimeout, [](const HttpResult&) {});
}

}  // namespace burlpoint::storage
