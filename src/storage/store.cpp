#include "storage/store.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace burlpoint::storage {

using protocol::KeyCondition;
using protocol::KeyPage;
using protocol::KeyWrite;
using protocol::Malformed;
using transport::Clock;
using transport::Outcome;

namespace {
constexpr Duration kLeaseTimeout{1500};
constexpr Duration kPageTimeout{4000};
constexpr unsigned kPageEntries = 500;
constexpr double kSlower = 0.7;                     // of the rate, after a refusal
constexpr double kFaster = 0.02;                    // of the highest rate, a second
constexpr auto kOneSign = std::chrono::seconds(1);  // refusals within this are one and the same excess
constexpr char kNoSuchLease[] = "no such lease";
}  // namespace

void RateBudget::refill(Time now) {
    if (now > at_) {
        const auto seconds = std::chrono::duration<double>(now - at_).count();
        rate_ =
            std::min(lowered_ ? std::min(maxRate_, next_) : maxRate_, rate_ + maxRate_ * kFaster * seconds);
        // Room for one change at least: below that a low rate would never let anything through.
        level_ = std::min(std::max(1.0, rate_), level_ + rate_ * seconds);
        at_ = now;
    }
}

void RateBudget::refused(Time now) {
    refill(now);
    level_ = std::min(level_, 0.0);  // the service has nothing saved up
    if (lowered_ && now - *lowered_ < kOneSign) return;
    lowered_ = now;
    rate_ = std::max(minRate_, std::min(rate_, next_) * kSlower);
}

bool RateBudget::take(double n, double reserve, Time now) {
    refill(now);
    if (level_ < n + reserve) return false;
    level_ -= n;
    return true;
}

StateClient::StateClient(transport::Client& http, std::string address, double rps, double share, Time now)
    : http_(http), address_(std::move(address)), requests_(rps * share, now), lastAnswer_(now) {}

void StateClient::answered(int status) {
    if (status == 200 || status == 404 || status == 409) lastAnswer_ = Clock::now();
}

/// Why a transaction was not carried out, with a word about the first of each kind of limit met.
TxnStatus StateClient::refusal(const Outcome& outcome, std::size_t writes, std::size_t bytes) {
    if (outcome.status == 429) {
        if (!std::exchange(loggedTooMany_, true))
            spdlog::info("the state service refuses changes as too many; writing slows down");
        return TxnStatus::tooMany;
    }
    if (outcome.status != 400) return TxnStatus::refused;
    std::string why;
    try {
        const auto handle = protocol::unpackBody(outcome.body);
        why = protocol::Fields(handle.get()).maybeText("error").value_or("");
    } catch (const Malformed&) {
        // No reason given. A lease that has ended is always named.
    }
    if (why == kNoSuchLease) return TxnStatus::noLease;
    if (!std::exchange(loggedTooLarge_, true))
        spdlog::error("the state service does not take {} changes of {} bytes: {}", writes, bytes,
                      why.empty() ? "400" : why);
    return TxnStatus::tooLarge;
}

void StateClient::transact(const std::vector<KeyCondition>& conditions, const std::vector<KeyWrite>& writes,
                           Duration timeout, TxnDone done) {
    requests_.force(1, Clock::now());
    const auto body = protocol::encodeTransaction(conditions, writes);
    const auto bytes = body.size();
    http_.request(address_, "POST", protocol::paths::kTransaction, body, timeout,
                  [this, count = writes.size(), bytes, done = std::move(done)](const Outcome& outcome) {
                      answered(outcome.status);
                      TxnResult result;
                      try {
                          if (outcome.status == 200 || outcome.status == 409) {
                              auto reply = protocol::decodeTransactionReply(outcome.body);
                              result.status =
                                  outcome.status == 200 ? TxnStatus::applied : TxnStatus::conflict;
                              result.revision = reply.revision;
                              result.failed = std::move(reply.failed);
                          } else if (outcome.status != 0) {
                              result.status = refusal(outcome, count, bytes);
                          }
                      } catch (const Malformed&) {
                          result = {};
                      }
                      done(std::move(result));
                  });
}

void StateClient::read(const std::string& target, Duration timeout, bool isWatch, PageDone done) {
    requests_.force(1, Clock::now());
    http_.request(address_, "GET", target, "", timeout,
                  [this, isWatch, done = std::move(done)](const Outcome& outcome) {
                      answered(outcome.status);
                      // Asked again from the same revision, as much or more would come: the keys are read
                      // anew, a page at a time.
                      if (outcome.status == 410 || (isWatch && outcome.oversize))
                          return done(ReadStatus::tooOld, {});
                      if (outcome.status != 200) return done(ReadStatus::failed, {});
                      msgpack::object_handle handle;  // the page points into it
                      KeyPage page;
                      auto status = ReadStatus::ok;
                      try {
                          handle = protocol::unpackBody(outcome.body);
                          page = isWatch ? protocol::decodeWatch(handle.get())
                                         : protocol::decodeKeyPage(handle.get());
                      } catch (const Malformed&) {
                          status = ReadStatus::failed;
                          page = {};
                      }
                      done(status, page);
                  });
}

void StateClient::page(const std::string& prefix, const std::string& after, PageDone done) {
    read(protocol::paths::keyPage(prefix, after, kPageEntries), kPageTimeout, false, std::move(done));
}

void StateClient::watch(const std::string& prefix, std::uint64_t after, Duration wait, Duration timeout,
                        PageDone done) {
    read(protocol::paths::watch(prefix, after, wait), timeout, true, std::move(done));
}

void StateClient::makeLease(Duration life, LeaseDone done) {
    requests_.force(1, Clock::now());
    http_.request(address_, "POST", protocol::paths::kLeases, protocol::encodeLease(life), kLeaseTimeout,
                  [this, done = std::move(done)](Outcome outcome) {
                      answered(outcome.status);
                      std::uint64_t lease = 0;
                      try {
                          if (outcome.ok()) lease = protocol::decodeLease(outcome.body);
                      } catch (const Malformed&) {
                          outcome.status = 0;
                      }
                      done(outcome.status, lease);
                  });
}

void StateClient::extendLease(std::uint64_t lease, LeaseDone done) {
    requests_.force(1, Clock::now());
    http_.request(address_, "POST", protocol::paths::extendLease(lease), "", kLeaseTimeout,
                  [this, lease, done = std::move(done)](const Outcome& outcome) {
                      answered(outcome.status);
                      done(outcome.status, lease);
                  });
}

void StateClient::endLease(std::uint64_t lease) {
    requests_.force(1, Clock::now());
    http_.request(address_, "DELETE", protocol::paths::lease(lease), "", kLeaseTimeout,
                  [](const Outcome&) {});
}

}  // namespace burlpoint::storage
