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

/// Short enough that an extension without an answer can be retried before the lease expires.
constexpr Duration kLeaseTimeout{1500};
constexpr Duration kPageTimeout{4000};
/// With values of 8 KiB, a page has half of the size that the HTTP client accepts for a response.
constexpr unsigned kPageEntries = 500;

/// True if the response proves that the store was available; any other status may be due to an outage.
bool isServed(const HttpResult& response) {
    return response.status == http_status::kOk || response.status == http_status::kNotFound ||
           response.status == http_status::kConflict;
}

}  // namespace

KeyValueClient::KeyValueClient(transport::HttpClient& http, std::string address, double requestsPerSecond,
                               double shareOfLimit, Time now)
    : http_(http),
      address_(std::move(address)),
      requestBudget_(requestsPerSecond * shareOfLimit, now),
      lastAnswerAt_(now) {}

void KeyValueClient::send(const char* method, const std::string& target, const std::string& body,
                          Duration timeout, transport::ResultCallback done) {
    requestBudget_.takeUnconditionally(1, Clock::now());
    http_.request(address_, method, target, body, timeout,
                  [this, done = std::move(done)](HttpResult response) {
                      if (isServed(response)) lastAnswerAt_ = Clock::now();
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
        result.status = statusOfRejection(response, writes, bytes);
        return result;
    }
    try {
        auto reply = protocol::decodeTransactionReply(response.body);
        result.revision = reply.revision;
        result.failed = std::move(reply.failed);
        result.status = response.ok() ? TransactionStatus::applied : TransactionStatus::conflict;
    } catch (const MalformedMessage&) {
        // A success can't be used without its revision. The status stays unknown.
    }
    return result;
}

/// Logs only the first rejection for the rate limit and for the size, as later ones have the same cause.
TransactionStatus KeyValueClient::statusOfRejection(const HttpResult& response, std::size_t writes,
                                                    std::size_t bytes) {
    if (response.status == http_status::kTooManyRequests) {
        if (!std::exchange(loggedRateLimit_, true))
            spdlog::info(
                "key-value store rejected writes over its rate limit, reducing the write rate writes={}",
                writes);
        return TransactionStatus::rateLimited;
    }
    if (response.status != http_status::kBadRequest) return TransactionStatus::unavailable;
    // The store always reports an expired lease as the reason, so any other 400, also one without a reason,
    // means that the transaction is too large.
    const auto reason = protocol::decodeErrorReply(response.body);
    if (protocol::isNoSuchLease(reason)) return TransactionStatus::leaseExpired;
    if (!std::exchange(loggedSizeLimit_, true))
        spdlog::error(
            "key-value store rejected a transaction over its size limit writes={} bytes={} reason={}", writes,
            bytes, reason);
    return TransactionStatus::tooLarge;
}

void KeyValueClient::read(ReadKind kind, const std::string& target, Duration timeout, PageCallback done) {
    const bool isWatch = kind == ReadKind::watch;
    send("GET", target, "", timeout, [isWatch, done = std::move(done)](const HttpResult& response) {
        // A retry of a watch whose response was too large would always fail again, since the changes after
        // the same revision only grow in number. All keys are read page by page instead.
        if (response.status == http_status::kGone || (isWatch && response.tooLarge))
            return done(ReadStatus::tooOld, {});
        if (!response.ok()) return done(ReadStatus::failed, {});
        msgpack::object_handle handle;  // owns the page's values
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

void KeyValueClient::createLease(Duration life, LeaseCallback done) {
    send("POST", paths::kLeases, protocol::encodeLease(life), kLeaseTimeout,
         [done = std::move(done)](const HttpResult& response) {
             std::optional<std::uint64_t> lease;
             try {
                 if (response.ok()) lease = protocol::decodeLease(response.body);
             } catch (const MalformedMessage&) {
                 // A lease whose id could not be decoded expires unused.
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

void KeyValueClient::revokeLease(std::uint64_t lease) {
    requestBudget_.takeUnconditionally(1, Clock::now());
    http_.request(address_, "DELETE", paths::lease(lease), "", kLeaseTimeout, [](const HttpResult&) {});
}

}  // namespace burlpoint::storage
