#pragma once

// A client of the key-value store that holds the cluster's state: compare-and-swap transactions, reads of
// pages of keys, watches and leases. Owns the pace at which this controller sends requests to the store, and
// when the store last answered. Used on the event loop's thread; every callback runs there, exactly once and
// never from inside the call that it was given to.

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

/// What came of a transaction. All values but `applied` and `unknown` say for certain that it was not carried
/// out and will not be.
enum class TransactionStatus {
    applied,   ///< carried out
    conflict,  ///< not carried out: a key did not have the version that its condition names
    refused,   ///< not carried out: the store does not serve at present
    tooMany,   ///< not carried out: more writes than the store's rate limit allows at present
    tooLarge,  ///< not carried out: a value or the whole transaction is larger than the store accepts
    noLease,   ///< not carried out: a lease that a write is attached to has expired
    unknown    ///< may have been carried out, or may still be: no answer came, or none that could be read
};

struct TransactionResult {
    TransactionStatus status = TransactionStatus::unknown;
    std::uint64_t revision = 0;       ///< of the store, if applied: the version of all keys written
    std::vector<std::string> failed;  ///< on a conflict: the keys whose condition did not hold
};

enum class ReadStatus {
    ok,
    tooOld,  ///< of a watch: the changes asked for can't be had any more; read all keys anew
    failed
};

/// What came of making or extending a lease.
enum class LeaseStatus {
    active,   ///< made or extended, from some moment between request and answer
    expired,  ///< the lease does not exist any more, and neither do the keys attached to it
    unknown   ///< refused or not answered; the lease may have been made or extended
};

/// One controller's access to the key-value store. Has to outlive the requests under way.
class KeyValueClient {
  public:
    using TransactionCallback = std::function<void(TransactionResult)>;
    /// The page is empty unless the status is `ok`. Its values live as long as the call.
    using PageCallback = std::function<void(ReadStatus, const protocol::KeyPage&)>;
    /// `lease` is the lease's id; when one was to be made, it is 0 unless the status is `active`.
    using LeaseCallback = std::function<void(LeaseStatus, std::uint64_t lease)>;

    /// `address`: the store's endpoint. `requestsPerSecond`: the store's limit for all its clients together;
    /// `shareOfLimit`: the part of it, up to 1, that is for this controller.
    KeyValueClient(transport::HttpClient& http, std::string address, double requestsPerSecond,
                   double shareOfLimit, Time now);

    /// Carries out all `writes` at once, or none of them unless all `conditions` hold.
    void transact(const std::vector<protocol::KeyCondition>& conditions,
                  const std::vector<protocol::KeyWrite>& writes, Duration timeout, TransactionCallback done);
    /// Reads the keys with that prefix that sort after `after`, up to a page of them. Their revision is that
    /// of the store at the time.
    void page(const std::string& prefix, const std::string& after, PageCallback done);
    /// Reads the changes after the revision `after`. With none there yet, the store waits up to `wait` for
    /// the first. `timeout` is for the whole request and has to be longer than `wait`.
    void watch(const std::string& prefix, std::uint64_t after, Duration wait, Duration timeout,
               PageCallback done);
    /// Makes a lease that expires `life` after it was made or last extended.
    void makeLease(Duration life, LeaseCallback done);
    void extendLease(std::uint64_t lease, LeaseCallback done);
    /// Ends a lease early, and deletes the keys attached to it. The answer is not waited for: without the
    /// request, the lease expires on its own.
    void endLease(std::uint64_t lease);

    /// The pace of all requests. Every call takes a token unconditionally; callers that can wait ask first.
    TokenBucket& requests() { return requests_; }
    /// When the store last answered a request of this controller other than by a refusal, at first the time
    /// of construction.
    Time lastAnswer() const { return lastAnswer_; }

  private:
    enum class ReadKind { page, watch };

    void send(const char* method, const std::string& target, const std::string& body, Duration timeout,
              transport::ResultCallback done);
    void read(ReadKind kind, const std::string& target, Duration timeout, PageCallback done);
    TransactionResult resultOf(const transport::HttpResult& response, std::size_t writes, std::size_t bytes);
    TransactionStatus statusOfRefusal(const transport::HttpResult& response, std::size_t writes,
                                      std::size_t bytes);

    transport::HttpClient& http_;
    std::string address_;
    TokenBucket requests_;
    Time lastAnswer_;
    bool loggedTooLarge_ = false;
    bool loggedTooMany_ = false;
};

}  // namespace burlpoint::storage
