#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "protocol/state_messages.h"
#include "transport/http.h"

namespace burlpoint::storage {

using transport::Duration;
using transport::Time;

/// A bucket of requests or changes: `rate` a second, at most a second's worth saved up. Where the service's
/// limit is not known for sure, the rate follows what is answered: down by a share with each refusal, slowly
/// up again by steady steps, so that users of one limit settle around it without knowing of each other.
class RateBudget {
  public:
    /// `next`: the limit that the service announces for later. From the first refusal on it is the highest
    /// rate gone back to: either the lower limit is in force, or the higher one is shared by too many
    /// already.
    RateBudget(double rate, Time now, double next = 1e9)
        : maxRate_(rate), next_(next), minRate_(rate / 8), rate_(rate), level_(rate), at_(now) {}
    /// Takes `n` if at least `reserve` remains afterwards for what matters more.
    bool take(double n, double reserve, Time now);
    double available(Time now) { return refill(now), level_; }
    /// For what must not wait: taken in any case, later callers wait the longer.
    void force(double n, Time now) { refill(now), level_ -= n; }
    /// The service refused changes as too many.
    void refused(Time now);
    double rate(Time now) { return refill(now), rate_; }

  private:
    void refill(Time now);
    double maxRate_;
    double next_;
    double minRate_;
    double rate_;
    double level_;
    Time at_;
    std::optional<Time> lowered_;
};

enum class TxnStatus {
    applied,
    conflict,  // not executed: a key had another version
    refused,   // not executed, for now
    tooMany,   // not executed: more changes than the service takes at present
    tooLarge,  // not executed: a value or the whole is larger than the service takes
    noLease,   // not executed: the lease has ended
    unknown    // may have been executed, or may yet be
};

struct TxnResult {
    TxnStatus status = TxnStatus::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

enum class ReadStatus { ok, tooOld, failed };

/// The state service's calls. Each callback runs once, later.
class StateClient {
  public:
    using TxnDone = std::function<void(TxnResult)>;
    using PageDone = std::function<void(ReadStatus, const protocol::KeyPage&)>;
    /// 200: extended or made; 404: ended; anything else: not known.
    using LeaseDone = std::function<void(int status, std::uint64_t lease)>;

    StateClient(transport::Client& http, std::string address, double rps, double share, Time now);

    void transact(const std::vector<protocol::KeyCondition>& conditions,
                  const std::vector<protocol::KeyWrite>& writes, Duration timeout, TxnDone done);
    void page(const std::string& prefix, const std::string& after, PageDone done);
    void watch(const std::string& prefix, std::uint64_t after, Duration wait, Duration timeout,
               PageDone done);
    void makeLease(Duration life, LeaseDone done);
    void extendLease(std::uint64_t lease, LeaseDone done);
    void endLease(std::uint64_t lease);

    RateBudget& requests() { return requests_; }
    /// When the service last carried out something for this node.
    Time lastAnswer() const { return lastAnswer_; }

  private:
    void read(const std::string& target, Duration timeout, bool isWatch, PageDone done);
    void answered(int status);
    TxnStatus refusal(const transport::Outcome& outcome, std::size_t writes, std::size_t bytes);

    transport::Client& http_;
    std::string address_;
    RateBudget requests_;
    Time lastAnswer_;
    bool loggedTooLarge_ = false;
    bool loggedTooMany_ = false;
};

}  // namespace burlpoint::storage
