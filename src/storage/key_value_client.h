#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/store_messages.h"
#include "storage/token_bucket.h"
#include "transport/http_client.h"

namespace burlpoint::storage {

enum class TransactionStatus {
    applied,
    conflict,  // not executed: a key had another version
    refused,   // not executed, for now
    tooMany,   // not executed: more changes than the service takes at present
    tooLarge,  // not executed: a value or the whole is larger than the service takes
    noLease,   // not executed: the lease has ended
    unknown    // may have been executed, or may yet be
};

struct TransactionResult {
    TransactionStatus status = TransactionStatus::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

enum class ReadStatus { ok, tooOld, failed };

/// The key-value store's calls. Each callback runs once, later.
class KeyValueClient {
  public:
    using TransactionCallback = std::function<void(TransactionResult)>;
    using PageCallback = std::function<void(ReadStatus, const protocol::KeyPage&)>;
    /// 200: extended or made; 404: ended; anything else: not known.
    using LeaseCallback = std::function<void(int status, std::uint64_t lease)>;

    KeyValueClient(transport::HttpClient& http, std::string address, double rps, double share, Time now);

    void transact(const std::vector<protocol::KeyCondition>& conditions,
                  const std::vector<protocol::KeyWrite>& writes, Duration timeout, TransactionCallback done);
    void page(const std::string& prefix, const std::string& after, PageCallback done);
    void watch(const std::string& prefix, std::uint64_t after, Duration wait, Duration timeout,
               PageCallback done);
    void makeLease(Duration life, LeaseCallback done);
    void extendLease(std::uint64_t lease, LeaseCallback done);
    void endLease(std::uint64_t lease);

    TokenBucket& requests() { return requests_; }
    /// When the service last carried out something for this node.
    Time lastAnswer() const { return lastAnswer_; }

  private:
    void read(const std::string& target, Duration timeout, bool isWatch, PageCallback done);
    void answered(int status);
    TransactionStatus refusal(const transport::HttpResult& outcome, std::size_t writes, std::size_t bytes);

    transport::HttpClient& http_;
    std::string address_;
    TokenBucket requests_;
    Time lastAnswer_;
    bool loggedTooLarge_ = false;
    bool loggedTooMany_ = false;
};

}  // namespace burlpoint::storage
