#pragma once

// Client of the key-value store that holds the cluster's state: compare-and-swap transactions, paged reads of
// keys, watches and leases. Owns the rate limit for this controller's requests to the store, and the time of
// the store's last answer. Used on the event loop's thread; every callback runs there, exactly once and never
// from within the call that it was passed to.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/store_messages.h"
#include "storage/token_bucket.h"
#include "transport/http_client.h"

namespace burlpoint::storage {

/// The outcome of a transaction. All values except `applied` and `unknown` mean that the transaction was not
/// applied and will not be.
enum class TransactionStatus {
    applied,
    conflict,      ///< not applied: a key did not have the version that its condition requires
    unavailable,   ///< not applied: the store is temporarily unavailable
    rateLimited,   ///< not applied: the writes exceed the store's rate limit
    tooLarge,      ///< not applied: a value or the whole transaction exceeds the store's size limit
    leaseExpired,  ///< not applied: a lease that a write is attached to has expired
    unknown        ///< may have been applied, or may still be: there was no answer, or a malformed one
};

struct TransactionResult {
    TransactionStatus status = TransactionStatus::unknown;
    std::uint64_t revision =
        0;  ///< if applied: the store's new revision, and the version of all keys written
    std::vector<std::string> failed;  ///< on a conflict: the keys whose condition did not hold
};

enum class ReadStatus {
    ok,
    tooOld,  ///< the changes that a watch requested are no longer available; all keys must be read
    failed
};

/// The outcome of creating or extending a lease.
enum class LeaseStatus {
    active,   ///< created or extended, at some time between request and answer
    expired,  ///< the lease no longer exists, and neither do the keys attached to it
    unknown   ///< rejected or not answered; the lease may have been created or extended
};

/// One controller's access to the key-value store. Must outlive its requests in flight.
class KeyValueClient {
  public:
    using TransactionCallback = std::function<void(TransactionResult)>;
    /// The page is empty unless the status is `ok`. Its values are valid only during the call.
    using PageCallback = std::function<void(ReadStatus, const protocol::KeyPage&)>;
    /// `lease` is the lease's id; for a lease to be created, it is 0 unless the status is `active`.
    using LeaseCallback = std::function<void(LeaseStatus, std::uint64_t lease)>;

    /// `address`: the store's endpoint. `requestsPerSecond`: the store's limit for all its clients together;
    /// `shareOfLimit`: this controller's share of that limit, at most 1.
    KeyValueClient(transport::HttpClient& http, std::string address, double requestsPerSecond,
                   double shareOfLimit, Time now);

    /// Applies all `writes` atomically if all `conditions` hold, otherwise none of them.
    void transact(const std::vector<protocol::KeyCondition>& conditions,
                  const std::vector<protocol::KeyWrite>& writes, Duration timeout, TransactionCallback done);
    /// Reads the first page of the keys that have the prefix and sort after `after`. The page's revision is
    /// that of the store at the time of the read.
    void page(const std::string& prefix, const std::string& after, PageCallback done);
    /// Reads the changes after the revision `after`. If there are none yet, the store waits up to `wait` for
    /// the first one. `timeout` applies to the whole request and must be longer than `wait`.
    void watch(const std::string& prefix, std::uint64_t after, Duration wait, Duration timeout,
               PageCallback done);
    /// Creates a lease that expires `life` after it was created or last extended.
    void createLease(Duration life, LeaseCallback done);
    void extendLease(std::uint64_t lease, LeaseCallback done);
    /// Revokes a lease, which deletes the keys attached to it. The answer is ignored: if the request fails,
    /// the lease expires by itself.
    void revokeLease(std::uint64_t lease);

    /// The rate limit for all requests. Every request takes a token unconditionally; callers that can wait
    /// check for available tokens first.
    TokenBucket& requestBudget() { return requestBudget_; }
    /// When the store last gave this controller an answer other than a rejection; initially the time of
    /// construction.
    Time lastAnswerAt() const { return lastAnswerAt_; }

  private:
    enum class ReadKind { page, watch };

    void send(const char* method, const std::string& target, const std::string& body, Duration timeout,
              transport::ResultCallback done);
    void read(ReadKind kind, const std::string& target, Duration timeout, PageCallback done);
    TransactionResult resultOf(const transport::HttpResult& response, std::size_t writes, std::size_t bytes);
    TransactionStatus statusOfRejection(const transport::HttpResult& response, std::size_t writes,
                                        std::size_t bytes);

    transport::HttpClient& http_;
    std::string address_;
    TokenBucket requestBudget_;
    Time lastAnswerAt_;
    bool loggedSizeLimit_ = false;
    bool loggedRateLimit_ = false;
};

}  // namespace burlpoint::storage
