#pragma once

// The accepted submissions that wait to be stored: a fair queue per team, with a limit on its length. Owns
// the waiting submissions, the round-robin position, the number of writes in flight, and the budget of
// key-value store writes that submissions share. Used on the controller's thread.

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"
#include "storage/token_bucket.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// A submission that waits to be stored.
struct Submission {
    protocol::JobSpec spec;
    transport::Reply reply;
    Time queuedAt;
};

/// A first-in, first-out queue per team, served round-robin, one submission at a time. It neither writes to
/// the key-value store nor replies to users.
class SubmissionQueue {
  public:
    /// The longest time from queueing a submission to the end of its last write. Users wait for 2 s.
    static constexpr Duration kMaxWait{1200};

    SubmissionQueue(const protocol::Settings& settings, Time now);

    /// Admission control: empty if one more submission could be stored within `kMaxWait`. Otherwise it is to
    /// be turned away, and this is the time (1 to 30 s) after which the user should try again.
    std::optional<std::chrono::seconds> retryAfterIfFull(Time now);

    /// Adds a submission behind the others of its team.
    void add(Submission submission);

    /// Puts a submission that the key-value store refused back as the next of its team.
    void requeue(Submission submission);

    /// Removes the submissions that have waited for longer than `kMaxWait`, for the caller to reply to.
    std::vector<Submission> takeExpired(Time now);

    /// Removes the next submission to store, of the team that follows the one served last. Empty if none
    /// waits, the write budget is used up or too many writes are in flight. Each submission taken has to be
    /// followed by one call of `writeCompleted`.
    std::optional<Submission> takeNext(Time now);

    /// The write of a submission that was taken has ended, whatever the outcome.
    void writeCompleted() { --writesInFlight_; }

    /// The key-value store refused a write because of its rate limit: the write budget shrinks for a while.
    void noteRateLimited(Time now) { writeBudget_.recordRefusal(now); }

    /// True if no submission waits. Submissions being written are not counted.
    bool empty() const { return queues_.empty(); }

  private:
    storage::TokenBucket writeBudget_;
    std::map<std::string, std::deque<Submission>> queues_;  // by team; none of them is empty
    std::size_t queued_ = 0;                                // in all queues
    std::size_t writesInFlight_ = 0;
    std::string lastServedTeam_;
};

}  // namespace burlpoint::coordination
